"""What the tests of shared addresses have in common."""

from onyxhollow.addresses import file
from onyxhollow.addresses.routes import Preference

POLICY = file.Policy(
    min_sites=1, unhealthy_for=10.0, dead_for=2.0, healthy_for=20.0, recovery_step=5.0, withdrawal_window=30.0
)
ADVERTISED, LOWERED, WITHDRAWN = Preference.ADVERTISED, Preference.LOWERED, Preference.WITHDRAWN
