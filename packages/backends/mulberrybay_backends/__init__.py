"""HTTP connections from a node to backend servers."""
