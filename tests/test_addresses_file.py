"""Tests of the addresses file and the route guard's file."""

import pytest

from onyxhollow.__main__ import main
from onyxhollow.addresses import file
from onyxhollow.fleet.route_guard_config import read_guard_config

VALID_FILE = """
[[service]]
name = "voice"
prefix = "198.51.100.7/32"
[[site]]
name = "north"
gate = "127.0.0.1:7"
"""


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (("7/32", "7/33"), "service[0].prefix: expected a prefix"),
        (('"127.0.0.1:7"', '"nowhere"'), "site[0].gate: expected HOST:PORT, got 'nowhere'"),
        (('"127.0.0.1:7"', '"h:\u00b2"'), "site[0].gate: expected HOST:PORT, got 'h:\u00b2'"),
        (("[[site]]", "[policy]\nleast = 3\n[[site]]"), "policy.least: expected at most 1"),
        (('name = "north"', 'name = "north"\ncut_off = "withdraw"'), "site: expected at least 1 with"),
        (('name = "north"', 'name = "no rth"'), "site[0].name: expected"),
        (("gate =", "door ="), "site[0]"),
        (("[[site]]", "[policy]\nill = 2\n[[site]]"), "policy.ill: expected"),
        (("[[service]]", "[[service"), "expected TOML"),
    ],
)
def test_an_invalid_addresses_file_is_rejected_with_a_one_line_message(tmp_path, change, message):
    path = tmp_path / "addresses.toml"
    path.write_text(VALID_FILE)
    assert file.read_addresses(str(path)).sites[0].capacity == 1000.0
    path.write_text(VALID_FILE.replace(*change))
    with pytest.raises(file.AddressesError) as error:
        file.read_addresses(str(path))
    assert message in str(error.value) and str(path) in str(error.value) and "\n" not in str(error.value)


def test_the_sample_files_are_valid():
    config, addresses, site = read_guard_config("deploy/gate.toml")
    assert site.name == "north" and addresses.policy.min_sites == 1 and config.own_as == 64512


def test_the_deprecated_name_of_the_route_guard_command_works_with_a_warning_line(tmp_path, capsys):
    missing = str(tmp_path / "gate.toml")
    missing_file_error = f"onyxhollow: {missing}: No such file or directory"
    assert main(["route-guard", "--config", missing]) == 2
    assert capsys.readouterr().err.splitlines() == [missing_file_error]
    assert main(["gate", "--config", missing]) == 2
    warning, error = capsys.readouterr().err.splitlines()
    assert "now called route-guard" in warning and error == missing_file_error
