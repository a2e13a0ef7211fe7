"""All decisions of onyxhollow, from `balancer.py`, which a host calls, down to `estimators.py`.

A host (`onyxhollow.interface.Host`) makes one `Balancer` an instance and hands it the endpoint list
(`on_endpoint_list`), sessions (`admit`, `adopt`), load reports (`on_health_check`) and its timer (`tick`).
What happens to a session later is a call on the `Session` that it was given. docs/design.md has the reasons.
"""

from onyxhollow.policy.balancer import Balancer
from onyxhollow.policy.session import Session

__all__ = ["Balancer", "Session"]
