"""The lab: an emulator of fleet, clients and network that plays, checks and compares decisions."""
