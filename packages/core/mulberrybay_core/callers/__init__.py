"""Decisions on callers that nobody controls; free of sockets and clocks."""
