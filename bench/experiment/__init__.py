"""Experiments on admission control under overload, in virtual time."""
