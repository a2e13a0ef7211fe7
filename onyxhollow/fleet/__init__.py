"""Fleet member in a proxy: fleet file, datagrams, leases, leader tasks, list replication, gossip."""
