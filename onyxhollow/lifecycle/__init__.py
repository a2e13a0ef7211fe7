"""Start and stop: configuration, the loop, the log, signals."""
