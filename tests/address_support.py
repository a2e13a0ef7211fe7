"""Shared helpers of the shared-address tests."""

from onyxhollow.addresses import file
from onyxhollow.addresses.routes import Preference

POLICY = file.Policy(
    min_sites=1, unhealthy_for=10.0, dead_for=2.0, healthy_for=20.0, recovery_step=5.0, withdrawal_window=30.0
)
ADVERTISED, LOWERED, WITHDRAWN = Preference.ADVERTISED, Preference.LOWERED, Preference.WITHDRAWN


def two_site_config(*listeners):
    """Return a configuration with two sites and one address per listener."""
    return file.AddressesFile(
        services=[
            file.Service(name=f"x{number}", prefix=f"198.51.100.{number}/32", listeners=[listener])
            for number, listener in enumerate(listeners)
        ],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
