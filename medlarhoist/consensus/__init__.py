"""Consensus: replicates the log of the sources, after Raft."""
