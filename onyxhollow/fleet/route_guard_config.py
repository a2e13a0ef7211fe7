"""The route guard's file: TOML, beside the addresses file that it names."""

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
MIN_ORPHANED_AFTER = 0.5  # seconds
MAX_ORPHANED_AFTER = 3600  # seconds


class RouteGuardConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The keys of the file."""

    addresses: str  # the addresses file, relative to this one
    site: str
    listen: str  # HOST:PORT where announcers call
    speaker: str  # HOST:PORT of the routing daemon's local socket
    folder: str  # of the store, relative to this file
    own_as: int = 64512
    orphaned_after: float = 15.0  # seconds without an announcer after which the site's file counts


def read_guard_config(path: str) -> tuple[RouteGuardConfig, AddressesFile, Site]:
    """Reads and checks a route guard's file and its addresses file; also the site that it names.

    Raises:
        AddressesError: one of them cannot be read or used; one line that names the file.
    """
    with one_line_errors(path), open(path, "rb") as file:
        config = msgspec.toml.decode(file.read(), type=RouteGuardConfig, strict=True)
        check(config)
        folder = os.path.dirname(os.path.abspath(path))
        addresses = read_addresses(os.path.join(folder, config.addresses))
        return config, addresses, find_site(addresses, config.site)


def check(config: RouteGuardConfig) -> None:
    """Raises AddressesError for a value that types alone do not forbid."""
    parse_host_port(config.listen, "listen")
    parse_host_port(config.speaker, "speaker")
    if not 0 < config.own_as <= MAX_AS_NUMBER:
        raise AddressesError(f"own_as: expected 1 to {MAX_AS_NUMBER}, got {config.own_as}")
    if not MIN_ORPHANED_AFTER <= config.orphaned_after <= MAX_ORPHANED_AFTER:
        limits = f"{MIN_ORPHANED_AFTER} to {MAX_ORPHANED_AFTER}"
        raise AddressesError(f"orphaned_after: expected {limits}, got {config.orphaned_after:g}")


def find_site(addresses: AddressesFile, name: str) -> Site:
    """The site of that name; raises AddressesError if there is none."""
    for site in addresses.sites:
        if site.name == name:
            return site
    names = ", ".join(site.name for site in addresses.sites)
    raise AddressesError(f"site: expected one of {names}, got {name[:80]!r}")
