"""The client of the platform's object store."""
