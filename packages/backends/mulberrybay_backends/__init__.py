"""Connections from mulberrybay to backend servers."""
