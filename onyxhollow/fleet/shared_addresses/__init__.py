"""Shared addresses inside a fleet member: the shell around the cores of `onyxhollow.addresses`.

The cores decide; here are the datagrams, the calls to the site's route guard, the disk, the probe sessions
and the operators' calls. `service.SharedAddresses` puts the parts together; the fleet member knows only
that.
"""
