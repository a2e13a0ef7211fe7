"""The socket engine: real proxies on loopback between emulated clients, servers and a list service."""
