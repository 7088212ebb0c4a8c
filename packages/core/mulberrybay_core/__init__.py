"""Decisions, messages and settings of mulberrybay, free of sockets and clocks."""
