"""Authentication of the fleet's datagrams: a keyed hash and replay protection.

The hash is HMAC-SHA256 (RFC 2104), truncated to 16 bytes. Replay protection uses a sliding window of sequence
numbers as in IPsec (RFC 4303, section 3.4.3), which accepts reordered datagrams and rejects repeated ones.
Rejected datagrams are dropped and counted by reason.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter, OrderedDict
from enum import Enum

import msgspec

from onyxhollow.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_CHARACTERS,
    PACKET_DECODER,
    Packet,
    encode,
)

AUTHENTICATION_CODE_BYTES = 16
REPLAY_WINDOW = 1024  # sequence numbers up to the highest one received; older ones are rejected
MAX_SENDERS = 8192  # with a replay window; beyond this, the least recently active sender is evicted
MIN_KEY_BYTES = 16
MAX_KEYS = 2  # the new and the old key during a key rotation

SenderKey = tuple[str, int]  # name and epoch


class KeyFileError(Exception):
    """A key file cannot be used; the message names the file and what was expected."""


class DropReason(Enum):
    """Why a datagram was dropped. The values are counter names in `/control/fleet`."""

    SIZE = "size"
    AUTHENTICATION = "seal"
    MALFORMED = "rubbish"
    OTHER_FLEET = "foreign"
    OWN = "own"
    OTHER_RECEIVER = "for another"
    REPLAYED = "repeated"


def read_keys(path: str) -> list[bytes]:
    """Read the fleet's keys, one per line in hexadecimal; skip empty lines and lines that start with `#`.

    The first key signs, and all keys verify. To rotate a key, list the new and the old one for a while.

    Raises:
        KeyFileError: The file cannot be read, is not hexadecimal, or has no, too many or too short keys.
    """
    try:
        with open(path, encoding="ascii") as file:
            lines = [line.strip() for line in file if line.strip() and not line.startswith("#")]
        keys = [bytes.fromhex(line) for line in lines]
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from None
    except ValueError:
        raise KeyFileError(
            f"{path}: expected one key per line in hexadecimal, got other characters"
        ) from None
    if not 1 <= len(keys) <= MAX_KEYS or min(map(len, keys)) < MIN_KEY_BYTES:
        got = f"{len(keys)} of {', '.join(str(len(key)) for key in keys) or 'no'} bytes"
        raise KeyFileError(f"{path}: expected one or two keys of {MIN_KEY_BYTES} bytes or more, got {got}")
    return keys


class ReplayWindow:
    """Sequence numbers received from one sender."""

    __slots__ = ("accepted_bits", "highest")

    def __init__(self) -> None:
        self.highest = 0
        self.accepted_bits = 0  # bit n: sequence number `highest - n`

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return whether it is new and within the window."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, REPLAY_WINDOW)
            self.accepted_bits = ((self.accepted_bits << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        distance = self.highest - sequence
        if distance >= REPLAY_WINDOW:  # before the shift, whose result has as many bits as the distance
            return False
        bit = 1 << distance
        if self.accepted_bits & bit:
            return False
        self.accepted_bits |= bit
        return True


class DatagramAuthenticator:
    """Signs the outgoing datagrams of this process and verifies incoming ones."""

    def __init__(self, fleet: str, name: str, epoch: int, keys: list[bytes]) -> None:
        self.fleet = fleet
        self.name = name
        self.epoch = epoch
        self.keys = keys
        self.sequence = 0
        self.replay_windows: OrderedDict[SenderKey, ReplayWindow] = OrderedDict()
        self.dropped: Counter[str] = Counter()  # by the value of a DropReason

    def sign(self, messages: list[bytes], receiver_epoch: int) -> bytes:
        """Return a signed datagram with these encoded messages."""
        self.sequence += 1
        raw = [msgspec.Raw(message) for message in messages]
        body = encode((self.fleet, self.name, self.epoch, self.sequence, receiver_epoch, raw))
        return self._authentication_code(self.keys[0], body) + body

    def verify(self, datagram: bytes) -> Packet | None:
        """Return the packet of a valid datagram; otherwise count the reason and return None."""
        result = self._decode(datagram)
        if isinstance(result, DropReason):
            self.dropped[result.value] += 1
            return None
        return result

    def _decode(self, datagram: bytes) -> Packet | DropReason:
        if not AUTHENTICATION_CODE_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
            return DropReason.SIZE
        code = datagram[:AUTHENTICATION_CODE_BYTES]
        body = datagram[AUTHENTICATION_CODE_BYTES:]
        if not any(hmac.compare_digest(self._authentication_code(key, body), code) for key in self.keys):
            return DropReason.AUTHENTICATION
        try:
            packet = PACKET_DECODER.decode(body)
        except (msgspec.DecodeError, RecursionError, OverflowError):
            return DropReason.MALFORMED
        return self._reason_to_drop(packet) or packet

    def _reason_to_drop(self, packet: Packet) -> DropReason | None:
        if packet.fleet != self.fleet:
            return DropReason.OTHER_FLEET
        if not 0 < len(packet.name) <= MAX_NAME_CHARACTERS or packet.epoch <= 0 or packet.sequence <= 0:
            return DropReason.MALFORMED
        if (packet.name, packet.epoch) == (self.name, self.epoch):
            return DropReason.OWN
        if packet.receiver_epoch not in (0, self.epoch):
            # Meant for an earlier process of this name, so it must have no effect on this one.
            return DropReason.OTHER_RECEIVER
        if not self._is_first(packet):
            return DropReason.REPLAYED
        return None

    def _is_first(self, packet: Packet) -> bool:
        sender = packet.name, packet.epoch
        window = self.replay_windows.pop(sender, None) or ReplayWindow()
        self.replay_windows[sender] = window
        first = window.accept(packet.sequence)
        if len(self.replay_windows) > MAX_SENDERS:
            self.replay_windows.popitem(last=False)
        return first

    @staticmethod
    def _authentication_code(key: bytes, body: bytes) -> bytes:
        return hmac.digest(key, body, hashlib.sha256)[:AUTHENTICATION_CODE_BYTES]
