"""Decision logic, messages and settings; no sockets and no clocks."""
