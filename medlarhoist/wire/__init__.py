"""Messages and gRPC connections between sources and nodes."""
