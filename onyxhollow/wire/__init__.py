"""What is spoken on the wire: lines, sessions, dials, probes, discovery."""
