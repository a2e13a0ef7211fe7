"""What the proxy keeps in memory: sessions, server addresses, buffers, counters."""
