"""The world model: servers, clients, list service and faults in virtual time, used by both engines."""
