"""The fleet file: TOML, typed by msgspec, checked whole."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from typing import Literal, get_args, get_type_hints

import msgspec

from onyxhollow.addresses.file import AddressesError, AddressesFile, read_addresses
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.leases.messages import VOTERS_ROLE
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import MAX_LEASE_DURATION, MAX_ROLES
from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import KeyFileError, read_keys
from onyxhollow.membership.messages import MAX_NAME_CHARACTERS, Address


class FleetError(ValueError):
    """A fleet file that can't be used; the text says where, what was expected and what was got."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file; a key that it does not know is an error."""


class Membership(Table, frozen=True):
    period: float = 1.0  # seconds from question to question
    timeout: float = 0.3  # seconds for an answer
    sync: float = 10.0  # seconds between comparisons of all that is held


class Leases(Table, frozen=True):
    lease: float = 3.0  # seconds
    rate_bound: float = 0.01  # by which clocks' rates may be off
    steady: float = 10.0  # seconds for which a member has to be there, and all be quiet, to get a duty back
    patience: float = 5.0  # seconds without progress after which a duty's work is given up


class Share(Table, frozen=True):
    """What members tell one another of servers; onyxhollow.gossip.config.GossipConfig explains them."""

    on: bool = False
    every: float = 0.25
    fan: int = 2
    report: float = 6.0
    renew: float = 1.0
    audit: float = 30.0


class Duty(Table, frozen=True):
    name: str
    work: Literal["list", "call"]
    per: Literal["fleet", "zone"] = "fleet"
    call: str = ""  # call: HOST:PORT that is called
    path: str = "/act"
    service: str = ""  # list: one name for a list service that members reach by different addresses
    every: float = 1.0  # call: seconds from call to call; list: from word to word of who tells


class FleetFile(Table, frozen=True):
    fleet: str
    key_file: str
    listen: str
    voters: list[str]
    advertise: str = ""  # where others reach `listen`, if that is elsewhere
    folder: str = ""  # what a voter remembers; members without it are no voters
    seeds: list[str] = []
    membership: Membership = msgspec.field(default_factory=Membership)
    leases: Leases = msgspec.field(default_factory=Leases)
    duty: list[Duty] = []
    addresses: str = ""  # the file of shared service addresses
    sharing: Share = msgspec.field(default_factory=Share)
    record: bool = False  # each lease that goes on gets a log line: for trials

    def terms(self) -> ProtocolConfig:
        told = self.membership
        return ProtocolConfig(period=told.period, timeout=told.timeout, sync_interval=told.sync)

    def share(self) -> GossipConfig | None:
        told = self.sharing
        if not told.on:
            return None
        return GossipConfig(told.every, told.fan, told.report, told.renew, audit_interval=told.audit)

    def rules(self) -> LeaseTiming:
        return LeaseTiming(self.leases.lease, self.leases.rate_bound)


class Fleet(msgspec.Struct, frozen=True):
    """What the file says, checked and read."""

    told: FleetFile
    keys: list[bytes]
    listen: Address
    advertise: Address
    seeds: list[Address]
    folder: str
    addresses: AddressesFile | None = None


def address(text: str, key: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FleetError(f"{key}: expected HOST:PORT, got {text!r}")
    return host, int(port)


def bounded(key: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise FleetError(f"{key}: expected {low:g} to {high:g}, got {value:g}")


def explained(error: msgspec.ValidationError) -> str:
    """The key's path, what was expected, what was got."""
    what, _, where = str(error).partition(" - at `$")
    where = where.strip("`").lstrip(".") or "top"
    if what.startswith("Invalid enum value ") and (key := where.rpartition(".")[2]) in Duty.__struct_fields__:
        one_of = ", ".join(get_args(get_type_hints(Duty)[key]))
        what = f"expected one of {one_of}, got {what.removeprefix('Invalid enum value ')}"
    return f"{where}: {re.sub(r'^Expected', 'expected', what)}"


def check(told: FleetFile) -> None:
    names: dict[str, str] = {"fleet": told.fleet}
    names |= {f"voters[{place}]": name for place, name in enumerate(told.voters)}
    names |= {f"duty[{place}].name": duty.name for place, duty in enumerate(told.duty)}
    for key, name in names.items():
        if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
            raise FleetError(
                f"{key}: expected 1 to {MAX_NAME_CHARACTERS} printable characters, got {name[:80]!r}"
            )
    if len(told.voters) not in (3, 5, 7) or len(set(told.voters)) != len(told.voters):
        raise FleetError(
            f"voters: expected 3, 5 or 7 different names, got {', '.join(told.voters) or 'none'}"
        )
    duties = [duty.name for duty in told.duty]
    if len(set(duties)) != len(duties) or VOTERS_ROLE in duties or len(duties) >= MAX_ROLES:
        raise FleetError(
            f"duty: expected different names, none of them {VOTERS_ROLE!r}, got {', '.join(duties)[:200]}"
        )
    if sum(duty.work == "list" for duty in told.duty) > 1:
        raise FleetError("duty: expected one whose work is 'list', got several")
    bounded("membership.period", told.membership.period, 0.05, 10.0)
    bounded("membership.timeout", told.membership.timeout, 0.01, told.membership.period)
    bounded("membership.sync", told.membership.sync, 1.0, 300.0)
    bounded("leases.lease", told.leases.lease, 0.2, MAX_LEASE_DURATION)
    bounded("leases.rate_bound", told.leases.rate_bound, 0.0001, 0.2)
    bounded("leases.steady", told.leases.steady, 0.0, 3600.0)
    bounded("leases.patience", told.leases.patience, 0.5, 3600.0)
    bounded("sharing.every", told.sharing.every, 0.05, 10.0)
    bounded("sharing.fan", told.sharing.fan, 1, 8)
    bounded("sharing.renew", told.sharing.renew, told.sharing.every, 30.0)
    bounded("sharing.report", told.sharing.report, told.sharing.renew, 60.0)
    bounded("sharing.audit", told.sharing.audit, 1.0, 3600.0)
    for place, duty in enumerate(told.duty):
        bounded(f"duty[{place}].every", duty.every, 0.02, 60.0)
        if duty.work == "call":
            address(duty.call, f"duty[{place}].call")
            if not duty.path.startswith("/") or not duty.path.isprintable() or " " in duty.path:
                raise FleetError(
                    f"duty[{place}].path: expected a path that begins with /, got {duty.path[:80]!r}"
                )


def read_fleet(path: str, environment: Callable[[str], str | None] = os.environ.get) -> Fleet:
    """$LB_FLEET_LISTEN goes before the file's `listen` (and stands for `advertise` too): one file for all."""
    try:
        with open(path, "rb") as file:
            told = msgspec.toml.decode(file.read(), type=FleetFile, strict=True)
        check(told)
        listen = environment("LB_FLEET_LISTEN")
        here = os.path.dirname(os.path.abspath(path))
        own = address(listen or told.listen, "$LB_FLEET_LISTEN" if listen else "listen")
        seen = address(told.advertise, "advertise") if told.advertise and not listen else own
        seeds = [address(seed, f"seeds[{place}]") for place, seed in enumerate(told.seeds)]
        shared = read_addresses(os.path.join(here, told.addresses)) if told.addresses else None
        keys = read_keys(os.path.join(here, told.key_file))
    except OSError as error:
        raise FleetError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise FleetError(f"{path}: {explained(error)}") from None
    except msgspec.DecodeError as error:
        raise FleetError(f"{path}: expected TOML, got something else: {error}") from None
    except AddressesError as error:
        raise FleetError(str(error)) from None
    except (FleetError, KeyFileError) as error:
        raise FleetError(f"{path}: {error}") from None
    folder = os.path.join(here, told.folder) if told.folder else ""
    return Fleet(told, keys, own, seen, seeds, folder, shared)
