"""Sources: control-plane replicas that store and decide the configuration."""
