"""Infrastructure shared by sources, nodes and tools."""
