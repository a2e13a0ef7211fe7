"""The life of one proxy process: configuration, startup, reload, replacement and graceful shutdown."""
