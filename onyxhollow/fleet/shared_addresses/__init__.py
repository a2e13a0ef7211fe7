"""Shared addresses inside a fleet member: the I/O around the decision logic of `onyxhollow.addresses`.

This package sends datagrams, calls the site's route guard, stores records on disk, runs probe sessions and
serves operators' calls. `service.SharedAddresses` assembles these parts and is the fleet member's only
interface to them.
"""
