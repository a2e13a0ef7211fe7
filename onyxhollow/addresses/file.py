"""The addresses file: shared addresses, the sites that advertise them, and the policy.

All members read the same TOML file. It is decoded into frozen structs and then validated as a whole. Where a
key of the file differs from the attribute, `field(name=...)` gives the key.
"""

from __future__ import annotations

import contextlib
import ipaddress
import os
import re
from collections.abc import Iterator, Sequence
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from onyxhollow.host_port import split_host_port

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
MAX_NAME_BYTES = 64
FORBIDDEN_IN_NAMES = "/ &=?#"  # names appear in paths, queries and comma-separated lists


class AddressesError(ValueError):
    """An invalid file; the message gives the key, the expected value and the value found."""


class TomlTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base class of the file's tables; an unknown key is an error."""


class Service(TomlTable, frozen=True):
    """A shared address and the listeners and tenants that use it."""

    name: str
    prefix: str  # announced network, for example 198.51.100.7/32
    listeners: list[str] = []  # listeners served under this address; empty: all
    tenants: list[str] = field(default_factory=list, name="customers")
    owner: str = ""
    note: str = ""


class Site(TomlTable, frozen=True):
    """A place that advertises addresses: the members of a zone, a route guard and a routing daemon."""

    name: str  # name of the zone
    route_guard: str = field(name="gate")  # HOST:PORT
    next_hop: str = "self"
    capacity: Positive = 1000.0  # open sessions that the site can serve
    # BGP MED: a lower value is preferred.
    med: Annotated[int, Meta(ge=0, le=1000)] = field(default=100, name="preference")
    cut_off: Literal["keep", "withdraw"] = "keep"  # after `cut_off_after` without a controller


class Policy(TomlTable, frozen=True):
    """Thresholds for withdrawing and restoring routes; health is from 0 to 1, times are in seconds."""

    # Minimum number of sites that advertise an address.
    min_sites: Annotated[int, Meta(ge=1)] = field(default=1, name="least")
    # Limit of sites withdrawn for health within `withdrawal_window`.
    max_concurrent_withdrawals: Annotated[int, Meta(ge=1)] = field(default=1, name="most_at_once")
    withdrawal_window: Positive = field(default=30.0, name="window")
    unhealthy_below: Ratio = field(default=0.6, name="ill")
    dead_below: Ratio = field(default=0.1, name="dead")
    healthy_from: Ratio = field(default=0.85, name="well")
    unhealthy_for: NotNegative = field(default=10.0, name="ill_for")  # before a withdrawal
    dead_for: NotNegative = 2.0  # before the withdrawal of a dead site
    healthy_for: NotNegative = field(default=15.0, name="well_for")  # before a restore; each flap doubles it
    max_healthy_for: NotNegative = field(default=600.0, name="well_most")
    flap_half_life: Positive = 300.0
    recovery_step: NotNegative = field(default=5.0, name="step")  # at the lowered preference during a restore
    max_utilization: Ratio = field(default=0.9, name="fill")  # of a site's capacity, including moved sessions
    drain_for: Positive = 60.0  # then a drain becomes a withdrawal, even if sessions still arrive
    # A drain is complete when the arrival rate has fallen to this share of the rate before the drain.
    drained_ratio: Ratio = field(default=0.1, name="drained")
    cut_off_after: Positive = 10.0  # without an assignment from a controller
    max_evidence_age: Positive = field(default=3.0, name="fresh")


class AddressesFile(TomlTable, frozen=True):
    """The contents of the addresses file."""

    services: list[Service] = field(name="service")
    sites: list[Site] = field(name="site")
    policy: Policy = Policy()
    interval: Positive = field(default=0.5, name="every")  # seconds between messages
    probe_interval: NotNegative = field(default=2.0, name="synthetic")  # seconds; 0: no probe sessions


def parse_host_port(text: str, key: str) -> tuple[str, int]:
    """Parse `HOST:PORT`.

    Raises:
        AddressesError: the text has another form; the message names `key`.
    """
    address = split_host_port(text)
    if address is None:
        raise AddressesError(f"{key}: expected HOST:PORT, got {text[:80]!r}")
    return address


def describe(error: msgspec.ValidationError) -> str:
    """Return a validation error in the form `key: expected ..., got ...`."""
    message, _, key = str(error).partition(" - at `$")
    key = key.strip("`").lstrip(".") or "top"
    return f"{key}: {re.sub(r'^Expected', 'expected', message)}"


def check(config: AddressesFile) -> None:
    """Check the constraints that the types do not express.

    Raises:
        AddressesError: the first error found, with its key in the file.
    """
    check_names("service", config.services)
    check_names("site", config.sites)
    check_prefixes(config.services)
    for index, site in enumerate(config.sites):
        check_site(index, site)
    check_policy(config)


def check_names(key: str, rows: Sequence[Service | Site]) -> None:
    """Check that there are names, and that they are short, printable and distinct."""
    names = [row.name for row in rows]
    for index, name in enumerate(names):
        size = len(name.encode(errors="replace"))
        forbidden = any(character in name for character in FORBIDDEN_IN_NAMES)
        if not 0 < size <= MAX_NAME_BYTES or not name.isprintable() or forbidden:
            expected = (
                f"expected 1 to {MAX_NAME_BYTES} bytes of printable characters, no space and none of /&=?#"
            )
            raise AddressesError(f"{key}[{index}].name: {expected}, got {name[:80]!r}")
    if len(set(names)) != len(names) or not names:
        raise AddressesError(f"{key}: expected distinct names, got {', '.join(names) or 'none'}")


def check_prefixes(services: Sequence[Service]) -> None:
    """Check that each prefix is a network and occurs only once."""
    seen: set[str] = set()
    for index, service in enumerate(services):
        try:
            prefix = str(ipaddress.ip_network(service.prefix))
        except ValueError as error:
            raise AddressesError(
                f"service[{index}].prefix: expected a prefix, got {service.prefix[:60]!r}: {error}"
            ) from None
        if prefix in seen:
            raise AddressesError(f"service[{index}].prefix: expected a prefix used only once, got {prefix}")
        seen.add(prefix)


def check_site(index: int, site: Site) -> None:
    """Check that a site's route guard and next hop are valid addresses."""
    parse_host_port(site.route_guard, f"site[{index}].gate")
    if site.next_hop == "self":
        return
    try:
        ipaddress.ip_address(site.next_hop)
    except ValueError:
        raise AddressesError(
            f"site[{index}].next_hop: expected self or an IP address, got {site.next_hop[:60]!r}"
        ) from None


def check_policy(config: AddressesFile) -> None:
    """Check that there are enough sites for the policy, and that its thresholds are in order."""
    policy = config.policy
    if policy.min_sites > len(config.sites):
        raise AddressesError(
            f"policy.least: expected at most {len(config.sites)}, the number of sites, got {policy.min_sites}"
        )
    keeping = sum(site.cut_off == "keep" for site in config.sites)
    if keeping < policy.min_sites:
        raise AddressesError(
            f'site: expected at least {policy.min_sites} with cut_off = "keep" (policy.least), '
            f"got {keeping}: without a voter majority all other sites withdraw"
        )
    if not policy.dead_below <= policy.unhealthy_below <= policy.healthy_from:
        raise AddressesError(
            f"policy: expected dead <= ill <= well, got {policy.dead_below:g}, {policy.unhealthy_below:g}, "
            f"{policy.healthy_from:g}"
        )


@contextlib.contextmanager
def one_line_errors(path: str) -> Iterator[None]:
    """Convert any error of reading a file into an AddressesError with a one-line message naming the file."""
    try:
        yield
    except OSError as error:
        raise AddressesError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise AddressesError(f"{path}: {describe(error)}") from None
    except msgspec.DecodeError as error:
        raise AddressesError(f"{path}: expected TOML, got a file that does not parse: {error}") from None
    except AddressesError as error:
        raise AddressesError(str(error) if str(error).startswith(path) else f"{path}: {error}") from None


def read_addresses(path: str) -> AddressesFile:
    """Read and check an addresses file.

    Raises:
        AddressesError: the file cannot be read or is invalid; a one-line message that names the file.
    """
    with one_line_errors(os.fspath(path)), open(path, "rb") as file:
        config = msgspec.toml.decode(file.read(), type=AddressesFile, strict=True)
        check(config)
    return config
