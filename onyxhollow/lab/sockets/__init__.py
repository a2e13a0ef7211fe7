"""The socket engine: real proxies on loopback among stand-ins that speak the protocol."""
