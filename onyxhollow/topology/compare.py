"""What came, went and changed between two snapshots, in words. Pure."""

from __future__ import annotations

from onyxhollow.topology import faults
from onyxhollow.topology.model import Snapshot


def differences(before: Snapshot, after: Snapshot) -> list[str]:
    found: list[str] = []
    old, new = before.members(), after.members()
    for name in sorted(old.keys() | new.keys()):
        a, b = old.get(name), new.get(name)
        if a is None and b is not None:
            found.append(f"came: member {name} in {b.zone or 'no zone'}")
        elif b is None:
            found.append(f"went: member {name}")
        elif a is not None:
            if a.life != b.life:
                found.append(f"member {name}: {a.life}, now {b.life}")
            if a.epoch != b.epoch:
                found.append(f"member {name}: another process")
            if a.zone != b.zone:
                found.append(f"member {name}: zone {a.zone}, now {b.zone}")
    was, now = before.servers(), after.servers()
    for name in sorted(was.keys() | now.keys()):
        x, y = was.get(name), now.get(name)
        if x is None:
            found.append(f"came: server {name}")
        elif y is None:
            found.append(f"went: server {name}")
        elif x.state != y.state:
            found.append(f"server {name}: {x.state}, now {y.state}")
    held, holds = before.duties(), after.duties()
    for duty in sorted(held.keys() | holds.keys()):
        p, q = held.get(duty), holds.get(duty)
        if p is None or q is None:
            found.append(f"{'came' if p is None else 'went'}: duty {duty}")
        elif (p.holder, p.term) != (q.holder, q.term):
            who = f"{p.holder.rpartition('~')[0] or 'nobody'}, now {q.holder.rpartition('~')[0] or 'nobody'}"
            found.append(f"duty {duty}: {who}, term {q.term}")
    stood, stands = before.addresses(), after.addresses()
    for key in sorted(stood.keys() | stands.keys()):
        m, n = stood.get(key), stands.get(key)
        if m is None or n is None or m.standing != n.standing:
            then, by_now = (row.standing if row else "not known" for row in (m, n))
            found.append(f"address {key[0]} at {key[1]}: {then}, now {by_now}")
    words = {one.words for one in faults.find(before)}
    later = {one.words for one in faults.find(after)}
    found += [f"new trouble: {word}" for word in sorted(later - words)]
    found += [f"over: {word}" for word in sorted(words - later)]
    return found
