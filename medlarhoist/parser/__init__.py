"""Parses and checks settings and manifests written in YAML."""
