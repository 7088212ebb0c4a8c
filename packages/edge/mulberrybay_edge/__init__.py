"""A node that serves callers and sends to backend servers directly."""
