"""HTTP connections of callers; the same for all listeners of all nodes."""
