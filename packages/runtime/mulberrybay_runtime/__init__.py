"""Event loop, timers, streams, logs and metrics shared by all packages."""
