"""Fleet file: TOML, decoded into msgspec structs and validated as a whole.

The keys are documented in docs/fleet.md; `msgspec.field(name=...)` gives the key where it differs.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from enum import Enum

import msgspec

from onyxhollow.addresses.file import AddressesError, AddressesFile, read_addresses
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.host_port import split_host_port
from onyxhollow.leases.messages import VOTERS_ROLE
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import MAX_LEASE_DURATION_SECONDS, MAX_ROLES
from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import KeyFileError, read_keys
from onyxhollow.membership.messages import MAX_NAME_CHARACTERS, Address

VOTER_COUNTS = (3, 5, 7)
MAX_QUOTED_CHARS = 80  # of an invalid value in an error message


class FleetFileError(ValueError):
    """Invalid or unreadable fleet file. The text has the place, the expected and the actual value."""


class TaskKind(Enum):
    """Kind of leader task that the holder of a role runs."""

    LIST = "list"  # polls the list service and publishes the endpoint list to the other members
    CALL = "call"  # calls an HTTP address at intervals


class RoleScope(Enum):
    """Scope in which a role has one holder."""

    FLEET = "fleet"  # one holder in the fleet
    ZONE = "zone"  # one holder in each zone


class FileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Table of the file; an unknown key is an error."""


class MembershipTable(FileTable, frozen=True):
    """Timing of the membership protocol, in seconds.

    Attributes:
        period: Time between two probes.
        timeout: Time that a probed member has for its answer.
        sync_interval: Time between two anti-entropy exchanges with another member.
    """

    period: float = 1.0
    timeout: float = 0.3
    sync_interval: float = msgspec.field(default=10.0, name="sync")


class LeasesTable(FileTable, frozen=True):
    """Timing of leases, in seconds except `rate_bound`.

    Attributes:
        duration: Duration of a lease.
        rate_bound: Largest relative error of any member's clock rate.
        stability_period: Time that the preferred member must be alive, and the fleet without faults, before
            a role is handed back to it.
        progress_timeout: Time without progress of its task after which a holder gives up the role.
    """

    duration: float = msgspec.field(default=3.0, name="lease")
    rate_bound: float = 0.01
    stability_period: float = msgspec.field(default=10.0, name="steady")
    progress_timeout: float = msgspec.field(default=5.0, name="patience")


class SharingTable(FileTable, frozen=True):
    """Gossip of load reports; `onyxhollow.gossip.config.GossipConfig` describes the values."""

    enabled: bool = msgspec.field(default=False, name="on")
    push_interval: float = msgspec.field(default=0.25, name="every")
    fanout: int = msgspec.field(default=2, name="fan")
    poll_interval: float = msgspec.field(default=6.0, name="report")
    report_interval: float = msgspec.field(default=1.0, name="renew")
    audit_interval: float = msgspec.field(default=30.0, name="audit")


class RoleTable(FileTable, frozen=True):
    """Role that one member of the scope holds at a time.

    Attributes:
        name: Name of the role; for scope ZONE, the name of the zone is appended to it.
        task: Kind of task that the holder runs.
        scope: Whether the role has one holder in the fleet or one in each zone.
        call_address: HOST:PORT that a CALL task calls.
        path: Path that a CALL task calls.
        service: For LIST, a common name of the list service if members reach it at different addresses.
        interval: Seconds between two calls (CALL) or two heartbeats (LIST).
    """

    name: str
    task: TaskKind = msgspec.field(name="work")
    scope: RoleScope = msgspec.field(default=RoleScope.FLEET, name="per")
    call_address: str = msgspec.field(default="", name="call")
    path: str = "/act"
    service: str = ""
    interval: float = msgspec.field(default=1.0, name="every")


class FleetFile(FileTable, frozen=True):
    """Decoded fleet file.

    Attributes:
        fleet: Name of the fleet; datagrams of other fleets are dropped.
        key_file: Path of the key file, relative to the folder of the fleet file.
        listen: HOST:PORT of the member's socket.
        voters: Names of the members of the initial voter set.
        advertise: HOST:PORT at which other members reach this one, if it differs from `listen`.
        folder: Folder of the voter log; a member without it is not a voter.
        seeds: HOST:PORT of the members that a starting member contacts to join the fleet.
        membership: Timing of the membership protocol.
        leases: Timing of leases.
        roles: Roles of the fleet.
        addresses: Path of the file of shared addresses; empty if there are none.
        sharing: Gossip of load reports.
        log_renewals: Whether each renewal of a lease is logged; intended for tests.
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
        """Return the configuration of the membership protocol."""
        table = self.membership
        return ProtocolConfig(period=table.period, timeout=table.timeout, sync_interval=table.sync_interval)

    def gossip_config(self) -> GossipConfig | None:
        """Return the configuration of the gossip of load reports; None if it is disabled."""
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
        """Return the timing of leases."""
        return LeaseTiming(self.leases.duration, self.leases.rate_bound)


class FleetConfig(msgspec.Struct, frozen=True):
    """Validated fleet file, with the files that it names read and its addresses parsed.

    Attributes:
        file: Decoded fleet file.
        keys: One or two keys; the first one authenticates sent datagrams.
        listen: Address of the member's socket.
        advertise: Address at which other members reach this one.
        seeds: Addresses of the members that a starting member contacts to join the fleet.
        folder: Folder of the voter log; empty if this member is not a voter.
        addresses: File of shared addresses; None if there are none.
    """

    file: FleetFile
    keys: list[bytes]
    listen: Address
    advertise: Address
    seeds: list[Address]
    folder: str
    addresses: AddressesFile | None = None


def read_fleet(path: str, environment: Callable[[str], str | None] = os.environ.get) -> FleetConfig:
    """Read and validate a fleet file and the files that it names.

    Args:
        path: Path of the fleet file.
        environment: Returns the value of an environment variable. $LB_FLEET_LISTEN overrides both `listen`
            and `advertise`, so that all members can use the same file.

    Raises:
        FleetFileError: One of the files is invalid or cannot be read.
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
        raise FleetFileError(f"{path}: expected TOML, got a file that does not parse: {error}") from None
    except AddressesError as error:
        raise FleetFileError(str(error)) from None
    except (FleetFileError, KeyFileError) as error:
        raise FleetFileError(f"{path}: {error}") from None


def _resolve(path: str, file: FleetFile, listen: str | None) -> FleetConfig:
    folder = os.path.dirname(os.path.abspath(path))
    listen_address = _read_address(listen or file.listen, "$LB_FLEET_LISTEN" if listen else "listen")
    advertise = listen_address
    if file.advertise and not listen:
        advertise = _read_address(file.advertise, "advertise")
    seeds = [_read_address(seed, f"seeds[{index}]") for index, seed in enumerate(file.seeds)]
    addresses = read_addresses(os.path.join(folder, file.addresses)) if file.addresses else None
    keys = read_keys(os.path.join(folder, file.key_file))
    voter_folder = os.path.join(folder, file.folder) if file.folder else ""
    return FleetConfig(file, keys, listen_address, advertise, seeds, voter_folder, addresses)


def _read_address(text: str, key: str) -> Address:
    address = split_host_port(text)
    if address is None:
        raise FleetFileError(f"{key}: expected HOST:PORT, got {text!r}")
    return address


def explain_validation_error(error: msgspec.ValidationError) -> str:
    """Return one line with the path of the key, the expected and the actual value."""
    problem, _, key_path = str(error).partition(" - at `$")
    key_path = key_path.strip("`").lstrip(".") or "top"
    key = key_path.rpartition(".")[2]
    field_types = {field.encode_name: field.type for field in msgspec.structs.fields(RoleTable)}
    field_type = field_types.get(key)
    if (
        problem.startswith("Invalid enum value ")
        and isinstance(field_type, type)
        and issubclass(field_type, Enum)
    ):
        values = ", ".join(member.value for member in field_type)
        problem = f"expected one of {values}, got {problem.removeprefix('Invalid enum value ')}"
    return f"{key_path}: {re.sub(r'^Expected', 'expected', problem)}"


def _check(file: FleetFile) -> None:
    _check_names(file)
    _check_voters(file)
    _check_roles(file)
    _check_ranges(file)
    for index, role in enumerate(file.roles):
        _check_range(f"duty[{index}].every", role.interval, 0.02, 60.0)
        if role.task is TaskKind.CALL:
            _check_call(f"duty[{index}]", role)


def _check_names(file: FleetFile) -> None:
    names: dict[str, str] = {"fleet": file.fleet}
    names |= {f"voters[{index}]": name for index, name in enumerate(file.voters)}
    names |= {f"duty[{index}].name": role.name for index, role in enumerate(file.roles)}
    for key, name in names.items():
        if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
            raise FleetFileError(
                f"{key}: expected 1 to {MAX_NAME_CHARACTERS} printable characters, "
                f"got {name[:MAX_QUOTED_CHARS]!r}"
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
            f"duty: expected fewer than {MAX_ROLES} different names, none of them {VOTERS_ROLE!r}, "
            f"got {', '.join(names)[:200]}"
        )
    if sum(role.task is TaskKind.LIST for role in file.roles) > 1:
        raise FleetFileError("duty: expected at most one duty with work = 'list', got several")


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


def _check_range(key: str, value: float, minimum: float, maximum: float) -> None:
    if not minimum <= value <= maximum:
        raise FleetFileError(f"{key}: expected {minimum:g} to {maximum:g}, got {value:g}")


def _check_call(key: str, role: RoleTable) -> None:
    _read_address(role.call_address, f"{key}.call")
    if not role.path.startswith("/") or not role.path.isprintable() or " " in role.path:
        raise FleetFileError(
            f"{key}.path: expected a printable path that begins with / and has no space, "
            f"got {role.path[:MAX_QUOTED_CHARS]!r}"
        )
