"""Validation of the fleet file: an error names the file, the key, the expected and the actual value."""

import pytest

from onyxhollow.__main__ import main
from onyxhollow.fleet.file import FleetFileError, RoleScope, read_fleet

VALID_FLEET_FILE = """fleet = "f"
key_file = "key"
listen = "127.0.0.1:7946"
voters = ["a", "b", "c"]
[[duty]]
name = "list"
work = "list"
per = "zone"
"""


@pytest.mark.parametrize(
    ("replacement", "message"),
    [
        (("", ""), ""),
        (('["a", "b", "c"]', '["a", "b"]'), "voters: expected 3, 5 or 7 different names, got a, b"),
        (('per = "zone"', 'per = "town"'), "duty[0].per: expected one of fleet, zone, got 'town'"),
        (('per = "zone"', "every = 100.0"), "duty[0].every: expected 0.02 to 60, got 100"),
        (('work = "list"', 'work = "call"'), "duty[0].call: expected HOST:PORT, got ''"),
        (('"f"', "3"), "fleet: expected `str`, got `int`"),
        (('fleet = "f"', 'fleet = "f"\nfolders = 1'), "top: Object contains unknown field `folders`"),
        (('"key"', '"keys"'), "keys: No such file"),
        (('"127.0.0.1:7946"', '"here"'), "listen: expected HOST:PORT, got 'here'"),
        (('"127.0.0.1:7946"', '"127.0.0.1:\u00b2"'), "listen: expected HOST:PORT, got '127.0.0.1:\u00b2'"),
        (('name = "list"', 'name = "voters"'), "none of them 'voters'"),
    ],
)
def test_an_error_in_the_fleet_file_names_the_key_and_the_expected_value(tmp_path, replacement, message):
    (tmp_path / "key").write_text("ab" * 16)
    path = tmp_path / "fleet.toml"
    path.write_text(VALID_FLEET_FILE.replace(*replacement))
    if not message:
        assert read_fleet(str(path), lambda _: None).file.roles[0].scope is RoleScope.ZONE
        assert read_fleet(str(path), lambda _: "127.0.0.1:1").listen == ("127.0.0.1", 1)
        return
    with pytest.raises(FleetFileError) as error:
        read_fleet(str(path), lambda _: None)
    error_text = str(error.value)
    assert message in error_text and "\n" not in error_text and error_text.startswith(str(path))


def test_the_check_command_validates_the_fleet_file(tmp_path, capfd):
    (tmp_path / "key").write_text("ab" * 16)
    (tmp_path / "fleet.toml").write_text(VALID_FLEET_FILE)
    argv = ["check", "--config", "example/config.json", "--fleet", str(tmp_path / "fleet.toml")]
    assert main(argv) == 0
    output = capfd.readouterr().out
    assert "voters a, b, c, lease 3 s" in output and "list (list, one per zone)" in output
    (tmp_path / "key").write_text("ab")
    assert main(argv) == 2
    output = capfd.readouterr().err
    assert (
        "expected one or two keys of 16 bytes or more, got 1 of 1 bytes" in output and output.count("\n") == 1
    )
