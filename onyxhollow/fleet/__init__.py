"""The fleet on a proxy: file, datagrams, leases and leader tasks, list replication, gossip, commands."""
