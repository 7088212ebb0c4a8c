"""The HTTP interface of a node for callers."""
