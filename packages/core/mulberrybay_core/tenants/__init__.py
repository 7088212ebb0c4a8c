"""Tenants: whose requests are served, and how many of them."""
