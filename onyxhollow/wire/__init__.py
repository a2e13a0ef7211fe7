"""Network code: lines, sessions, attempts at endpoints, health checks and the endpoint list watch."""
