"""The event loop, timers, streams, logs and metrics shared by mulberrybay's packages."""
