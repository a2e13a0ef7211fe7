"""What makes a datagram one of this fleet: a keyed hash over it, and numbers that are taken once.

HMAC-SHA256 (RFC 2104), cut to 16 bytes; numbers in a sliding window as in IPsec (RFC 4303, 3.4.3), so that
reordered datagrams pass and repeated ones do not. Whatever fails is counted by its reason and dropped.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter, OrderedDict

import msgspec

from onyxhollow.membership.messages import LARGEST, NAME, PACKETS, Packet, encode

SEAL = 16  # bytes
WINDOW = 1024  # numbers back for which it is known whether they came
SENDERS = 8192  # of which numbers are held; past them those not heard of for longest are let go
SHORTEST_KEY = 16  # bytes


class KeyFileError(Exception):
    """A key file that can't be used; the text says why."""


def read_keys(path: str) -> list[bytes]:
    """One key a line, in hex; the first seals, each of them opens: two while the key is changed."""
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
        keys = [bytes.fromhex(line) for line in lines]
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from None
    except ValueError:
        raise KeyFileError(f"{path}: expected keys in hex, one a line, got something else") from None
    if not 1 <= len(keys) <= 2 or min(map(len, keys)) < SHORTEST_KEY:
        got = f"{len(keys)} of {', '.join(str(len(key)) for key in keys) or 'no'} bytes"
        raise KeyFileError(f"{path}: expected one or two keys of {SHORTEST_KEY} bytes or more, got {got}")
    return keys


class DatagramAuthenticator:
    def __init__(self, fleet: str, name: str, epoch: int, keys: list[bytes]) -> None:
        self.fleet, self.name, self.epoch, self.keys = fleet, name, epoch, keys
        self.number = 0
        self.windows: OrderedDict[tuple[str, int], tuple[int, int]] = (
            OrderedDict()
        )  # highest number; which came
        self.dropped: Counter[str] = Counter()

    def close(self, parts: list[bytes], to: int) -> bytes:
        """The datagram. Its parts are encoded already: their sizes were counted."""
        self.number += 1
        raw = [msgspec.Raw(part) for part in parts]
        body = encode((self.fleet, self.name, self.epoch, self.number, to, raw))
        return hmac.digest(self.keys[0], body, hashlib.sha256)[:SEAL] + body

    def open(self, datagram: bytes) -> Packet | None:
        why = ""
        if not SEAL < len(datagram) <= LARGEST:
            why = "size"
        elif not any(
            hmac.compare_digest(hmac.digest(key, datagram[SEAL:], hashlib.sha256)[:SEAL], datagram[:SEAL])
            for key in self.keys
        ):
            why = "seal"
        if why:
            self.dropped[why] += 1
            return None
        try:
            packet = PACKETS.decode(datagram[SEAL:])
        except (msgspec.DecodeError, RecursionError, OverflowError):
            self.dropped["rubbish"] += 1
            return None
        if packet.fleet != self.fleet:
            why = "foreign"
        elif not 0 < len(packet.name) <= NAME or packet.epoch <= 0 or packet.number <= 0:
            why = "rubbish"
        elif (packet.name, packet.epoch) == (self.name, self.epoch):
            why = "own"
        elif packet.to not in (0, self.epoch):
            why = "for another"  # for the process before this one: nothing of it may count here
        elif not self.fresh(packet):
            why = "repeated"
        if why:
            self.dropped[why] += 1
            return None
        return packet

    def fresh(self, packet: Packet) -> bool:
        who, number = (packet.name, packet.epoch), packet.number
        highest, came = self.windows.pop(who, (0, 0))
        if number > highest:
            came = ((came << min(number - highest, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            fresh, highest = True, number
        else:
            bit = 1 << (highest - number)
            fresh = highest - number < WINDOW and not came & bit
            came |= bit if fresh else 0
        self.windows[who] = highest, came
        if len(self.windows) > SENDERS:
            self.windows.popitem(last=False)
        return fresh
