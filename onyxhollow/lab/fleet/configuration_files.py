"""The configuration files of one member's process: settings, fleet file and injected faults."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
import tomli_w

if TYPE_CHECKING:
    from onyxhollow.lab.fleet.process_cluster import Process, ProcessCluster

SEED_MEMBERS = 3  # number of members whose addresses each fleet file lists as seeds


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def write_configuration(cluster: ProcessCluster, process: Process) -> tuple[Path, Path]:
    """Write the files of a process, also that of its faults; return the paths of settings and fleet file."""
    config_path = cluster.folder / f"{process.title}.json"
    config_path.write_bytes(orjson.dumps(_configuration(cluster, process)))
    fleet_path = cluster.folder / f"{process.title}.toml"
    fleet_path.write_text(tomli_w.dumps(_fleet_settings(cluster, process)))
    process.fault_file.write_bytes(orjson.dumps(cluster.process_faults.get(process.name, {})))
    return config_path, fleet_path


def _configuration(cluster: ProcessCluster, process: Process) -> dict[str, Any]:
    """Return the configuration of the proxy, in which settings of the cluster replace the default ones."""
    name = process.name
    return {
        "name": name,
        "listen": format_address(cluster.listen_addresses[name]),
        "discovery": format_address(cluster.list_service.listener_for(name).address),
        "seed": f"{cluster.seed * 7919 + int(name[1:]) * 31 + process.run_number:x}",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"seq": -1, "hosts": []},
        "settings": _default_settings(cluster, name) | cluster.settings,
    }


def _default_settings(cluster: ProcessCluster, name: str) -> dict[str, Any]:
    return {
        "me": int(name[1:]),
        "peersTotal": len(cluster.names),
        "zone": cluster.zones[name],
        "discovery": "on_request",
        "listeners": [
            {
                "name": "chat",
                "semantics": "read_like",
                "handshakeTargetNs": 300000000,
                "dialTimeoutNs": 2000000000,
            }
        ],
        "ceilings": {"mostDials": 3, "probes": False, "cancelling": True, "connectTimeoutNs": 250000000},
        "rules": {
            "askWithinNs": round(cluster.ask_within * 1e9),
            "coldNs": 1000000000,
            "coldShare": 1.0,
            "fallMultiple": 3.0,
            "fallNs": 2000000000,
        },
    }


def _fleet_settings(cluster: ProcessCluster, process: Process) -> dict[str, Any]:
    """Return the contents of the fleet file; only voters, present and future, have a state folder."""
    name = process.name
    addresses = cluster.advertised_addresses
    fleet_settings: dict[str, Any] = {
        "fleet": "rig",
        "key_file": "key",
        "listen": format_address(cluster.process_addresses[process.slot]),
        "advertise": format_address(addresses[process.slot]),
        "voters": cluster.voters,
        "seeds": [format_address(addresses[seed]) for seed in cluster.names[:SEED_MEMBERS]],
        "record": True,
        "membership": cluster.membership,
        "leases": cluster.lease_settings,
        "duty": _duties(cluster, name),
    } | cluster.extra_fleet_settings
    if name in cluster.voters or name in cluster.spare_voters:
        fleet_settings["folder"] = f"state-{name}"
    return fleet_settings


def _duties(cluster: ProcessCluster, name: str) -> list[dict[str, Any]]:
    """Return the duties with their targets: the member's listener of the ledger, or the list of "rig"."""
    ledger_address = format_address(cluster.ledger.listener_for(name).address)
    return [
        duty | ({"call": ledger_address} if duty["work"] == "call" else {"service": "rig"})
        for duty in cluster.duties
    ]
