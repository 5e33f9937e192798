"""Adapter to the users' platform: it translates, and decides nothing."""
