"""The file of addresses: TOML, typed by msgspec, checked whole. All members have the same one."""

from __future__ import annotations

import contextlib
import ipaddress
import os
import re
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
NAME = 64  # bytes


class AddressesError(ValueError):
    """A file that can't be used; the text says where, what was expected and what was got."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file; a key that it does not know is an error."""


class Service(Table, frozen=True):
    """A shared address and who uses it."""

    name: str
    prefix: str  # as it is announced, 198.51.100.7/32
    listeners: list[str] = []  # that are served under it; none told: all
    customers: list[str] = []
    owner: str = ""
    note: str = ""


class Site(Table, frozen=True):
    """Where addresses are advertised from: the members of a zone, with one gate to one speaker."""

    name: str  # the zone
    gate: str  # HOST:PORT
    next_hop: str = "self"
    capacity: Positive = 1000.0  # open sessions that it can bear
    preference: Annotated[int, Meta(ge=0, le=1000)] = 100  # told as MED: the lower is preferred
    cut_off: Literal["keep", "withdraw"] = "keep"  # once it has heard no keeper for `cut_off_after`


class Policy(Table, frozen=True):
    least: Annotated[int, Meta(ge=1)] = 1  # sites that advertise an address, at the least
    most_at_once: Annotated[int, Meta(ge=1)] = 1  # sites withdrawn for health within `window`
    window: Positive = 30.0  # seconds
    ill: Share = 0.6  # health under which a site is ill ...
    dead: Share = 0.1  # ... and under which it is as good as dead
    well: Share = 0.85  # from here on it is well
    ill_for: NotNegative = 10.0  # seconds ill before it is withdrawn ...
    dead_for: NotNegative = 2.0  # ... and dead
    well_for: NotNegative = 15.0  # seconds well before it is restored; twice as long with each flap
    well_most: NotNegative = 600.0  # at the most
    flap_half_life: Positive = 300.0  # seconds in which a flap is half forgotten
    step: NotNegative = 5.0  # seconds at a lesser preference on the way back
    fill: Share = 0.9  # of a site's capacity that may be used by what is moved there
    drain_for: Positive = 60.0  # seconds after which a drain is a withdrawal, whatever still comes
    drained: Share = 0.1  # of the new sessions from before under which a drain is done
    cut_off_after: Positive = 10.0  # seconds without a word of the keeper
    fresh: Positive = 3.0  # seconds for which evidence counts


class AddressesFile(Table, frozen=True):
    service: list[Service]
    site: list[Site]
    policy: Policy = Policy()
    every: Positive = 0.5  # seconds from word to word
    synthetic: NotNegative = 2.0  # seconds from a member's session of its own to the next; 0: none


def read_address(text: str, key: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise AddressesError(f"{key}: expected HOST:PORT, got {text[:80]!r}")
    return host, int(port)


def explained(error: msgspec.ValidationError) -> str:
    """The key's path, what was expected, what was got."""
    what, _, where = str(error).partition(" - at `$")
    where = where.strip("`").lstrip(".") or "top"
    return f"{where}: {re.sub(r'^Expected', 'expected', what)}"


def check(told: AddressesFile) -> None:
    for key, rows in (("service", told.service), ("site", told.site)):
        names = [row.name for row in rows]
        for place, name in enumerate(names):
            size = len(name.encode(errors="replace"))
            if not 0 < size <= NAME or not name.isprintable() or any(sign in name for sign in "/ &=?#"):
                what = f"expected 1 to {NAME} bytes of printable characters, no space and none of /&=?#"
                raise AddressesError(f"{key}[{place}].name: {what}, got {name[:80]!r}")
        if len(set(names)) != len(names) or not names:
            raise AddressesError(f"{key}: expected names that differ, got {', '.join(names) or 'none'}")
    prefixes: dict[str, int] = {}
    for place, service in enumerate(told.service):
        try:
            prefix = str(ipaddress.ip_network(service.prefix))
        except ValueError as error:
            raise AddressesError(
                f"service[{place}].prefix: expected a prefix, got {service.prefix[:60]!r}: {error}"
            ) from None
        if prefix in prefixes:
            raise AddressesError(f"service[{place}].prefix: expected one that no other has, got {prefix}")
        prefixes[prefix] = place
    for place, site in enumerate(told.site):
        read_address(site.gate, f"site[{place}].gate")
        if site.next_hop != "self":
            try:
                ipaddress.ip_address(site.next_hop)
            except ValueError:
                raise AddressesError(
                    f"site[{place}].next_hop: expected self or an address, got {site.next_hop[:60]!r}"
                ) from None
    policy = told.policy
    if policy.least > len(told.site):
        raise AddressesError(
            f"policy.least: expected at most {len(told.site)}, as many as there are sites, got {policy.least}"
        )
    if (stay := sum(site.cut_off == "keep" for site in told.site)) < policy.least:
        raise AddressesError(
            f'site: expected at least {policy.least} with cut_off = "keep" (policy.least), '
            f"got {stay}: without voters every gate would withdraw"
        )
    if not policy.dead <= policy.ill <= policy.well:
        raise AddressesError(
            f"policy: expected dead <= ill <= well, got {policy.dead:g}, {policy.ill:g}, {policy.well:g}"
        )


@contextlib.contextmanager
def one_line(path: str) -> Iterator[None]:
    """What goes wrong with a file, as one AddressesError that names it."""
    try:
        yield
    except OSError as error:
        raise AddressesError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise AddressesError(f"{path}: {explained(error)}") from None
    except msgspec.DecodeError as error:
        raise AddressesError(f"{path}: expected TOML, got something else: {error}") from None
    except AddressesError as error:
        raise AddressesError(str(error) if str(error).startswith(path) else f"{path}: {error}") from None


def read_addresses(path: str) -> AddressesFile:
    with one_line(os.fspath(path)), open(path, "rb") as file:
        told = msgspec.toml.decode(file.read(), type=AddressesFile, strict=True)
        check(told)
    return told
