"""Decisions of a node that is short of time or of capacity."""
