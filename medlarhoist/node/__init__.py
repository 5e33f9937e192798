"""The node: the proxy beside each target."""
