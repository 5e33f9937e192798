"""The node: the sidecar proxy beside each target."""
