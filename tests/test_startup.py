"""Startup of the `serve` command: its arguments, and the modules that it leaves for later."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tomllib
import urllib.request
from pathlib import Path

import pytest

from onyxhollow.__main__ import ConfigPaths, make_parser, parse_plain_serve

# Modules that only other commands, optional features or failures need.
DEFERRED_MODULES = {
    "_hashlib",
    "argparse",
    "asyncio",
    "bz2",
    "concurrent",
    "decimal",
    "email",
    "gettext",
    "hashlib",
    "http",
    "locale",
    "logging",
    "lzma",
    "msgspec",
    "multiprocessing",
    "numpy",
    "onyxhollow.addresses",
    "onyxhollow.append_log",
    "onyxhollow.fleet",
    "onyxhollow.gossip",
    "onyxhollow.lab",
    "onyxhollow.leases",
    "onyxhollow.membership",
    "onyxhollow.simulator_adapter",
    "onyxhollow.topology",
    "pickle",
    "rich",
    "shutil",
    "ssl",
    "statistics",
    "subprocess",
    "tempfile",
    "tomllib",
    "unittest",
    "urllib.request",
    "xxhash",
}

# Data classes of the modules of `serve`; each compiles its methods at every start, a NamedTuple does not.
DATA_CLASSES = {"Config", "Endpoint", "Listener", "Settings", "Tenant"}


def find_free_port():
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


def test_serve_imports_no_module_that_only_other_commands_need(tmp_path):
    # Guards against a slow start: a replacement and a restart wait for every module imported until then.
    management = f"127.0.0.1:{find_free_port()}"
    listener = {"name": "calls", "semantics": "read_like", "handshakeTargetNs": 3e8, "dialTimeoutNs": 6e8}
    host = {"host": "a", "dial": "127.0.0.1:1", "health": "active"}
    document = {
        "listen": f"127.0.0.1:{find_free_port()}",
        "discovery": "127.0.0.1:9",
        "management": management,
        "known": {"seq": 1, "whole": True, "hosts": [host]},
        "settings": {"listeners": [listener], "rules": {}},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-X", "importtime", "-O", "-m", "onyxhollow", "serve", "--config", str(path)]
    environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    program = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, env=environment)
    try:
        assert json.loads(program.stdout.readline())["event"] == "start"
        with urllib.request.urlopen(f"http://{management}/control/ready", timeout=10) as answer:
            assert answer.status == 200
        program.send_signal(signal.SIGTERM)
        _, errors = program.communicate(timeout=10)
    finally:
        program.kill()
    imported = re.findall(r"\| +(\S+)$", errors.decode(), re.MULTILINE)
    assert program.returncode == 0 and "onyxhollow.lifecycle.proxy" in imported and "h11" in imported
    too_early = {
        name
        for name in imported
        if name in DEFERRED_MODULES or any(name.startswith(f"{module}.") for module in DEFERRED_MODULES)
    }
    assert not too_early


def test_the_deploy_file_names_each_module_that_serve_imports():
    # Guards against a module that a start needs and that the deployment does not check.
    root = Path(__file__).resolve().parents[1]
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    code = (
        "import sys, onyxhollow.__main__, onyxhollow.lifecycle.serve\n"
        "print(*{module.__file__ for name, module in sys.modules.items() if name.startswith('onyxhollow.')})"
    )
    program = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=root
    )
    imported = {Path(path).relative_to(root) for path in program.stdout.split()}
    named = {Path(path) for path in (*deploy["node"], *deploy["policy"])}
    assert imported and not {path for path in imported if not named & {path, *path.parents}}


def test_serve_defines_no_data_classes_beyond_the_known_ones():
    # Guards against a slow start: the methods of each data class are compiled when its module is imported.
    code = (
        "import sys, onyxhollow.__main__, onyxhollow.lifecycle.serve\n"
        "modules = [module for name, module in sys.modules.items() if name.startswith('onyxhollow')]\n"
        "print(*{name for module in modules for name, value in vars(module).items()"
        " if isinstance(value, type) and hasattr(value, '__dataclass_fields__')})"
    )
    program = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert set(program.stdout.split()) == DATA_CLASSES


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--config", "a.json"],
        ["--fleet", "b.toml"],
        ["--config", "a.json", "--fleet", "b.toml"],
        ["--fleet", "b.toml", "--config", "a.json"],
        ["--config", "a.json", "--config", "c.json"],
        ["--config", ""],
    ],
)
def test_plain_arguments_of_serve_are_parsed_as_argparse_parses_them(monkeypatch, arguments):
    # Guards against two parsers that give one command line two meanings.
    for config, fleet in ((None, None), ("of-environment.json", "of-environment.toml")):
        for name, value in (("LB_CONFIG", config), ("LB_FLEET", fleet)):
            monkeypatch.delenv(name, raising=False) if value is None else monkeypatch.setenv(name, value)
        options = make_parser().parse_args(["serve", *arguments])
        assert parse_plain_serve(["serve", *arguments]) == ConfigPaths(options.config, options.fleet)


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["check"],
        ["check", "--config", "a.json"],
        ["serve", "--config"],
        ["serve", "--config=a.json"],
        ["serve", "--conf", "a.json"],
        ["serve", "--config", "--fleet"],
        ["serve", "--config", "-a.json"],
        ["serve", "--help"],
        ["serve", "a.json"],
        ["serve", "--other", "a.json"],
        ["--config", "a.json", "serve"],
    ],
)
def test_all_other_arguments_are_left_to_argparse(arguments):
    # Guards against a quick parser that accepts what argparse refuses, or the reverse.
    assert parse_plain_serve(arguments) is None
