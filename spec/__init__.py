"""Promela models of the core protocols, and the command that checks them."""
