"""The route guard's configuration file, in TOML; it names the addresses file."""

from __future__ import annotations

import os

import msgspec

from onyxhollow.addresses.file import (
    AddressesError,
    AddressesFile,
    Site,
    one_line_errors,
    parse_host_port,
    read_addresses,
)

MAX_AS_NUMBER = (1 << 32) - 1
MIN_ORPHANED_AFTER_SECONDS = 0.5
MAX_ORPHANED_AFTER_SECONDS = 3600


class RouteGuardConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The contents of the route guard's file."""

    addresses: str  # path of the addresses file, relative to this file
    site: str
    listen: str  # HOST:PORT for the calls of announcers and members
    speaker: str  # HOST:PORT of the routing daemon's API
    folder: str  # path of the store, relative to this file
    own_as: int = 64512
    orphaned_after: float = 15.0  # seconds without an announcer until the guard withdraws routes itself


def read_guard_config(path: str) -> tuple[RouteGuardConfig, AddressesFile, Site]:
    """Read and check a route guard's file and its addresses file, and return both with the guard's site.

    Raises:
        AddressesError: a file cannot be read or is invalid; a one-line message that names the file.
    """
    with one_line_errors(path), open(path, "rb") as file:
        config = msgspec.toml.decode(file.read(), type=RouteGuardConfig, strict=True)
        check(config)
        folder = os.path.dirname(os.path.abspath(path))
        addresses = read_addresses(os.path.join(folder, config.addresses))
        return config, addresses, find_site(addresses, config.site)


def check(config: RouteGuardConfig) -> None:
    """Check the constraints that the types do not express.

    Raises:
        AddressesError: a value is out of range, or an address is malformed.
    """
    parse_host_port(config.listen, "listen")
    parse_host_port(config.speaker, "speaker")
    if not 0 < config.own_as <= MAX_AS_NUMBER:
        raise AddressesError(f"own_as: expected 1 to {MAX_AS_NUMBER}, got {config.own_as}")
    if not MIN_ORPHANED_AFTER_SECONDS <= config.orphaned_after <= MAX_ORPHANED_AFTER_SECONDS:
        limits = f"{MIN_ORPHANED_AFTER_SECONDS} to {MAX_ORPHANED_AFTER_SECONDS}"
        raise AddressesError(f"orphaned_after: expected {limits}, got {config.orphaned_after:g}")


def find_site(addresses: AddressesFile, name: str) -> Site:
    """Return the site with this name.

    Raises:
        AddressesError: there is no such site.
    """
    for site in addresses.sites:
        if site.name == name:
            return site
    names = ", ".join(site.name for site in addresses.sites)
    raise AddressesError(f"site: expected one of {names}, got {name[:80]!r}")
