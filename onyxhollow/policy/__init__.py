"""The policy of onyxhollow: its decisions, from `balancer.py`, which a host calls, to `estimators.py`.

A host (`onyxhollow.interface.Host`) creates one `Balancer` per instance and passes it the endpoint list
(`on_endpoint_list`), sessions (`admit`, `adopt`), load reports (`on_health_check`) and its timer (`tick`).
Later events of a session are calls on the `Session` object that it was given. docs/design.md has the reasons.
"""

from onyxhollow.policy.balancer import Balancer
from onyxhollow.policy.session import Session

__all__ = ["Balancer", "Session"]
