"""The fleet file: TOML, typed by msgspec, checked as a whole.

The keys are those of docs/fleet.md; `msgspec.field(name=...)` joins a key to the name that the code uses.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from enum import Enum

import msgspec

from onyxhollow.addresses.file import AddressesError, AddressesFile, read_addresses
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.leases.messages import VOTERS_ROLE
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import MAX_LEASE_DURATION_SECONDS, MAX_ROLES
from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import KeyFileError, read_keys
from onyxhollow.membership.messages import MAX_NAME_CHARACTERS, Address

VOTER_COUNTS = (3, 5, 7)
MAX_PORT = 65535
QUOTED = 80  # characters of a wrong value that an error shows


class FleetFileError(ValueError):
    """The fleet file can't be used; the text says where, what was expected and what was found."""


class TaskKind(Enum):
    """What the holder of a role does."""

    LIST = "list"  # polls the list service and publishes the endpoint list
    CALL = "call"  # calls an address over and over


class RoleScope(Enum):
    """How many holders a role has at a time."""

    FLEET = "fleet"  # one
    ZONE = "zone"  # one in each zone


class FileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file; a key that it does not know is an error."""


class MembershipTable(FileTable, frozen=True):
    """Membership protocol; all in seconds.

    Attributes:
        period: From probe to probe.
        timeout: For an answer to a probe.
        sync_interval: Between comparisons of all that two members know.
    """

    period: float = 1.0
    timeout: float = 0.3
    sync_interval: float = msgspec.field(default=10.0, name="sync")


class LeasesTable(FileTable, frozen=True):
    """Leases; seconds but for `rate_bound`.

    Attributes:
        duration: Of a lease.
        rate_bound: Fraction by which any clock's rate may be off.
        stability_period: How long a member has to be alive, and the fleet without faults, to get a role back.
        progress_timeout: Without progress for so long, a task's holder gives the role up.
    """

    duration: float = msgspec.field(default=3.0, name="lease")
    rate_bound: float = 0.01
    stability_period: float = msgspec.field(default=10.0, name="steady")
    progress_timeout: float = msgspec.field(default=5.0, name="patience")


class SharingTable(FileTable, frozen=True):
    """Gossip of load reports; `onyxhollow.gossip.config.GossipConfig` says what each value means."""

    enabled: bool = msgspec.field(default=False, name="on")
    push_interval: float = msgspec.field(default=0.25, name="every")
    fanout: int = msgspec.field(default=2, name="fan")
    poll_interval: float = msgspec.field(default=6.0, name="report")
    report_interval: float = msgspec.field(default=1.0, name="renew")
    audit_interval: float = msgspec.field(default=30.0, name="audit")


class RoleTable(FileTable, frozen=True):
    """A role that one member at a time holds.

    Attributes:
        name: Of the role; in scope ZONE, the zone's name is added to it.
        task: What its holder does.
        scope: One holder a fleet or a zone.
        call_address: For CALL: the HOST:PORT that is called.
        path: For CALL: the path that is called.
        service: For LIST: one name for a list service that members reach by different addresses.
        interval: For CALL, seconds from call to call; for LIST, from heartbeat to heartbeat.
    """

    name: str
    task: TaskKind = msgspec.field(name="work")
    scope: RoleScope = msgspec.field(default=RoleScope.FLEET, name="per")
    call_address: str = msgspec.field(default="", name="call")
    path: str = "/act"
    service: str = ""
    interval: float = msgspec.field(default=1.0, name="every")


class FleetFile(FileTable, frozen=True):
    """The file as it is written.

    Attributes:
        fleet: Name of the fleet; datagrams of another one are dropped.
        key_file: Path of the keys, seen from the file's folder.
        listen: HOST:PORT of the member's socket.
        voters: Names of the members that are voters at the start.
        advertise: HOST:PORT at which others reach `listen`, if that differs.
        folder: Of a voter's records; a member without it is no voter.
        seeds: HOST:PORT of members that a new one joins by.
        membership: Timing of the membership protocol.
        leases: Timing of leases.
        roles: What one member at a time does.
        addresses: Path of the file of shared addresses; "" without any.
        sharing: Gossip of load reports.
        log_renewals: Log each renewal of a lease: for trials.
    """

    fleet: str
    key_file: str
    listen: str
    voters: list[str]
    advertise: str = ""
    folder: str = ""
    seeds: list[str] = []
    membership: MembershipTable = msgspec.field(default_factory=MembershipTable)
    leases: LeasesTable = msgspec.field(default_factory=LeasesTable)
    roles: list[RoleTable] = msgspec.field(default_factory=list, name="duty")
    addresses: str = ""
    sharing: SharingTable = msgspec.field(default_factory=SharingTable)
    log_renewals: bool = msgspec.field(default=False, name="record")

    def protocol_config(self) -> ProtocolConfig:
        """The configuration of the membership protocol."""
        table = self.membership
        return ProtocolConfig(period=table.period, timeout=table.timeout, sync_interval=table.sync_interval)

    def gossip_config(self) -> GossipConfig | None:
        """The configuration of the gossip of load reports; None if it is off."""
        table = self.sharing
        if not table.enabled:
            return None
        return GossipConfig(
            push_interval=table.push_interval,
            fanout=table.fanout,
            poll_interval=table.poll_interval,
            report_interval=table.report_interval,
            audit_interval=table.audit_interval,
        )

    def lease_timing(self) -> LeaseTiming:
        """The timing of leases."""
        return LeaseTiming(self.leases.duration, self.leases.rate_bound)


class FleetConfig(msgspec.Struct, frozen=True):
    """A fleet file, checked, with all that it names read and resolved.

    Attributes:
        file: The file as it is written.
        keys: One or two keys; the first authenticates what is sent.
        listen: Of the member's socket.
        advertise: Where others reach it.
        seeds: Members that a new one joins by.
        folder: Of a voter's records; "" if this member is no voter.
        addresses: The file of shared addresses; None without any.
    """

    file: FleetFile
    keys: list[bytes]
    listen: Address
    advertise: Address
    seeds: list[Address]
    folder: str
    addresses: AddressesFile | None = None


def read_fleet(path: str, environment: Callable[[str], str | None] = os.environ.get) -> FleetConfig:
    """Reads a fleet file and the files that it names.

    Args:
        path: Of the file.
        environment: $LB_FLEET_LISTEN goes before the file's `listen`, and replaces `advertise` too: so one
            file serves all members.

    Raises:
        FleetFileError: One of the files can't be read or used.
    """
    try:
        with open(path, "rb") as file:
            tables = msgspec.toml.decode(file.read(), type=FleetFile, strict=True)
        _check(tables)
        return _resolve(path, tables, environment("LB_FLEET_LISTEN"))
    except OSError as error:
        raise FleetFileError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise FleetFileError(f"{path}: {explain_validation_error(error)}") from None
    except msgspec.DecodeError as error:
        raise FleetFileError(f"{path}: expected TOML, got something else: {error}") from None
    except AddressesError as error:
        raise FleetFileError(str(error)) from None
    except (FleetFileError, KeyFileError) as error:
        raise FleetFileError(f"{path}: {error}") from None


def _resolve(path: str, file: FleetFile, listen: str | None) -> FleetConfig:
    folder = os.path.dirname(os.path.abspath(path))
    own = _read_address(listen or file.listen, "$LB_FLEET_LISTEN" if listen else "listen")
    advertise = own
    if file.advertise and not listen:
        advertise = _read_address(file.advertise, "advertise")
    seeds = [_read_address(seed, f"seeds[{place}]") for place, seed in enumerate(file.seeds)]
    addresses = read_addresses(os.path.join(folder, file.addresses)) if file.addresses else None
    keys = read_keys(os.path.join(folder, file.key_file))
    records_folder = os.path.join(folder, file.folder) if file.folder else ""
    return FleetConfig(file, keys, own, advertise, seeds, records_folder, addresses)


def _read_address(text: str, key: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise FleetFileError(f"{key}: expected HOST:PORT, got {text!r}")
    return host, int(port)


def explain_validation_error(error: msgspec.ValidationError) -> str:
    """The key's path, what was expected, what was found: one line."""
    what, _, where = str(error).partition(" - at `$")
    where = where.strip("`").lstrip(".") or "top"
    key = where.rpartition(".")[2]
    kinds = {field.encode_name: field.type for field in msgspec.structs.fields(RoleTable)}
    kind = kinds.get(key)
    if what.startswith("Invalid enum value ") and isinstance(kind, type) and issubclass(kind, Enum):
        one_of = ", ".join(choice.value for choice in kind)
        what = f"expected one of {one_of}, got {what.removeprefix('Invalid enum value ')}"
    return f"{where}: {re.sub(r'^Expected', 'expected', what)}"


def _check(file: FleetFile) -> None:
    _check_names(file)
    _check_voters(file)
    _check_roles(file)
    _check_ranges(file)
    for place, role in enumerate(file.roles):
        _check_range(f"duty[{place}].every", role.interval, 0.02, 60.0)
        if role.task is TaskKind.CALL:
            _check_call(f"duty[{place}]", role)


def _check_names(file: FleetFile) -> None:
    names: dict[str, str] = {"fleet": file.fleet}
    names |= {f"voters[{place}]": name for place, name in enumerate(file.voters)}
    names |= {f"duty[{place}].name": role.name for place, role in enumerate(file.roles)}
    for key, name in names.items():
        if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
            raise FleetFileError(
                f"{key}: expected 1 to {MAX_NAME_CHARACTERS} printable characters, got {name[:QUOTED]!r}"
            )


def _check_voters(file: FleetFile) -> None:
    if len(file.voters) not in VOTER_COUNTS or len(set(file.voters)) != len(file.voters):
        raise FleetFileError(
            f"voters: expected 3, 5 or 7 different names, got {', '.join(file.voters) or 'none'}"
        )


def _check_roles(file: FleetFile) -> None:
    names = [role.name for role in file.roles]
    if len(set(names)) != len(names) or VOTERS_ROLE in names or len(names) >= MAX_ROLES:
        raise FleetFileError(
            f"duty: expected different names, none of them {VOTERS_ROLE!r}, got {', '.join(names)[:200]}"
        )
    if sum(role.task is TaskKind.LIST for role in file.roles) > 1:
        raise FleetFileError("duty: expected one whose work is 'list', got several")


def _check_ranges(file: FleetFile) -> None:
    membership = file.membership
    _check_range("membership.period", membership.period, 0.05, 10.0)
    _check_range("membership.timeout", membership.timeout, 0.01, membership.period)
    _check_range("membership.sync", membership.sync_interval, 1.0, 300.0)
    leases = file.leases
    _check_range("leases.lease", leases.duration, 0.2, MAX_LEASE_DURATION_SECONDS)
    _check_range("leases.rate_bound", leases.rate_bound, 0.0001, 0.2)
    _check_range("leases.steady", leases.stability_period, 0.0, 3600.0)
    _check_range("leases.patience", leases.progress_timeout, 0.5, 3600.0)
    sharing = file.sharing
    _check_range("sharing.every", sharing.push_interval, 0.05, 10.0)
    _check_range("sharing.fan", sharing.fanout, 1, 8)
    _check_range("sharing.renew", sharing.report_interval, sharing.push_interval, 30.0)
    _check_range("sharing.report", sharing.poll_interval, sharing.report_interval, 60.0)
    _check_range("sharing.audit", sharing.audit_interval, 1.0, 3600.0)


def _check_range(key: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise FleetFileError(f"{key}: expected {low:g} to {high:g}, got {value:g}")


def _check_call(key: str, role: RoleTable) -> None:
    _read_address(role.call_address, f"{key}.call")
    if not role.path.startswith("/") or not role.path.isprintable() or " " in role.path:
        raise FleetFileError(f"{key}.path: expected a path that begins with /, got {role.path[:QUOTED]!r}")
