"""Reload of the configuration: what is rejected, and what it changes for new sessions."""

import json
from dataclasses import replace

import pytest
from peers import CALLS, CONFIG_DOCUMENT, parse_metrics

from onyxhollow.__main__ import main
from onyxhollow.interface import Idempotency
from onyxhollow.lifecycle.config import ConfigError, decode_config, find_restart_reason, read_config
from onyxhollow.settings import WireError
from onyxhollow.wire.endpoint_list import EndpointListError, decode_endpoint_list
from onyxhollow.wire.remote_clock import RemoteClock
from onyxhollow.wire.session_registry import SessionRegistry

TWO_LISTENERS = {"calls": CALLS, "once": replace(CALLS, name="once", idempotency=Idempotency.NON_IDEMPOTENT)}


def iterate_objects(document, path=()):
    """Yield each object and list of a document with its path."""
    yield path, document
    for key, value in document.items() if isinstance(document, dict) else enumerate(document):
        if isinstance(value, dict | list) and key != "known":
            yield from iterate_objects(value, (*path, key))


def change_document(path, key, value=None):
    """Return a copy of the configuration with one key set, or removed if the value is None."""
    document = json.loads(json.dumps(CONFIG_DOCUMENT))
    target = document
    for step in path:
        target = target[step]
    if value is None:
        del target[key]
    else:
        target[key] = value
    return document


def test_a_reload_rejects_truncated_files_missing_keys_and_invalid_values(tmp_path):
    old, path = decode_config(CONFIG_DOCUMENT, {}), tmp_path / "config.json"
    complete = json.dumps(CONFIG_DOCUMENT)
    files = [complete[:length] for length in range(0, len(complete), 10)]
    for place, value in iterate_objects(CONFIG_DOCUMENT):
        if isinstance(value, dict):
            files += [json.dumps(change_document(place, key)) for key in value]
    for row in (0, 1):
        for key in ("dialTimeoutNs", "handshakeTargetNs"):
            files += [
                json.dumps(change_document(("settings", "listeners", row), key, value))
                for value in (0, -5, True, "2e9", float("nan"), float("inf"), [], {})
            ]
    files += [
        json.dumps(change_document(("settings", "ceilings"), "mostDials", value))
        for value in (0, -1, True, "3", float("nan"), [])
    ]
    for text in files:
        path.write_text(text)
        with pytest.raises(ConfigError):
            new = read_config(str(path))
            if reason := find_restart_reason(old, new):
                raise ConfigError(reason)
    assert len(files) > 80
    renamed = change_document(("settings", "listeners", 0), "name", "new")  # one removed, one added
    renamed["settings"]["listeners"][0]["semantics"] = "non_idempotent"
    assert (
        find_restart_reason(old, decode_config(renamed, {}))
        == ""
        == find_restart_reason(decode_config(renamed, {}), old)
    )
    single = change_document(("settings", "listeners"), 0)
    assert (
        find_restart_reason(old, decode_config(single, {})) == ""
        and decode_config(single, {}).settings.max_attempts == 3
    )


# Not ports: a superscript digit, Arabic digits, too large, zero, more digits than int() accepts, a sign.
INVALID_PORTS = ("\u00b2", "\u0661\u0662", "65536", "0", "1" * 5000, "-1", "")


@pytest.mark.parametrize("port", INVALID_PORTS)
@pytest.mark.parametrize("key", ["listen", "discovery", "management"])
def test_an_invalid_port_is_reported_by_check_with_file_key_and_expected_form(tmp_path, capfd, key, port):
    # Guards against ports that str.isdigit accepts and int() does not: the error named neither file nor key.
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG_DOCUMENT | {key: f"127.0.0.1:{port}"}))
    assert main(["check", "--config", str(path)]) == 2
    error = capfd.readouterr().err
    assert error.startswith(
        f"onyxhollow: {path}: {key} address: expected HOST:PORT, got '127.0.0.1:{port[:30]}"
    )
    assert error.count("\n") == 1


def test_an_invalid_port_in_the_endpoint_list_is_reported_with_the_endpoint():
    # Guards against the same error in an answer of the list service, which must be rejected as malformed.
    document = {"seq": 1, "whole": True, "hosts": [{"host": "a", "health": "active", "dial": "h:\u00b2"}]}
    with pytest.raises(EndpointListError, match=r"^a: address: expected HOST:PORT, got 'h:\u00b2'$"):
        decode_endpoint_list(document, RemoteClock(), 0.0)


@pytest.mark.parametrize("name", ["messageAimNs", "tenantQuotaConnections"])
@pytest.mark.parametrize("value", [-1, True, False, float("nan"), float("inf"), "5", [5]])
def test_an_invalid_message_objective_or_quota_is_reported_under_its_own_name(name, value):
    # Guards against a negative or boolean objective in use, and against the error "setting quota".
    document = change_document(("settings",), "tenants", [{"name": "t"}, {"name": "u"}])
    document["settings"]["extra"] = {name: [None, value]}
    with pytest.raises(WireError, match=rf"^setting {name}\[1\]: expected a number from 0, got "):
        decode_config(document, {})
    document["settings"]["extra"] = {name: [5e9]}  # a missing value is 0
    settings = decode_config(document, {}).settings
    assert [row.message_objective for row in settings.listeners.values()] == (
        [5.0, 0.0] if name == "messageAimNs" else [0.0, 0.0]
    )
    quotas = [5e9, 0.0] if name == "tenantQuotaConnections" else [0.0, 0.0]
    assert [tenant.connection_quota for tenant in settings.tenants.values()] == quotas


def test_a_reload_changes_listeners_and_max_attempts_for_new_sessions_only(start_proxy, monkeypatch):
    proxy = start_proxy("ab", listeners=TWO_LISTENERS, max_attempts=2)
    attempting = proxy.open_session("calls")
    first, other = proxy.first_attempt()
    settings = replace(proxy.config.settings, listeners={"once": TWO_LISTENERS["once"]}, max_attempts=1)
    proxy.config = replace(proxy.config, settings=settings)
    proxy.proxy.reloader.reload()
    first.send(b"ERR\r\n")
    # The second attempt is still allowed for this session, but no longer for new ones.
    proxy.until(lambda: other.connection()).send(b"UP r\r\n")
    proxy.until(lambda: attempting.read() == b"UP r\r\n")
    in_flight = proxy.open_session("calls")
    proxy.until(lambda: proxy.proxy.sessions.active_count == 2)
    for session in proxy.proxy.sessions.table.live:
        assert session.handle.session.listener is CALLS
    monkeypatch.setattr(
        SessionRegistry, "find_listener", lambda self, name: self.settings.listeners.get(name)
    )
    failed = proxy.open_session("calls")
    proxy.until(lambda: failed.read() == b"ERR\r\n")
    assert (
        not in_flight.read()
        and parse_metrics(proxy.call_management("counters")[1])["lb_success_total", "calls"] == 1
    )
    proxy.proxy.reloader.reread_config = lambda: read_config("/nowhere")
    proxy.proxy.reloader.reload()
    values = parse_metrics(proxy.call_management("counters")[1])
    assert (values["lb_reconfig_ok_total", None], values["lb_reconfig_failed_total", None]) == (1, 1)
