"""Tests of the append log: failing I/O and recovery after a crash."""

import errno
import os

import pytest

from onyxhollow import append_log
from onyxhollow.append_log import (
    AppendLog,
    AppendLogFormatError,
    AppendLogLockedError,
    AppendLogUnavailableError,
)


@pytest.mark.parametrize("call", ["pwrite", "fsync", "rename", "fsync folder"])
def test_failing_system_call_keeps_the_committed_records(tmp_path, monkeypatch, call):
    folder = str(tmp_path)
    log = AppendLog(folder, "r")
    log.append(b"one", b"two")

    def fail(*_, **__):
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patch:
        if call == "fsync folder":
            patch.setattr(log, "sync_folder", fail)
        else:
            patch.setattr(append_log.os, call, fail)
        with pytest.raises(OSError, match="full"):
            log.rewrite([b"three"]) if call in ("rename", "fsync folder") else log.append(b"three")
    log.append(b"four")  # rewrites the file: its contents are undefined after a failed write
    log.close()
    assert AppendLog(folder, "r").bodies == [b"one", b"two", b"four"]


def test_incomplete_record_after_a_crash_is_described_and_overwritten(tmp_path):
    log = AppendLog(str(tmp_path), "r")
    with pytest.raises(AppendLogLockedError, match="another process"):
        AppendLog(str(tmp_path), "r")
    log.append(b"one", b"two", b"three")
    log.close()
    complete = (tmp_path / "r").read_bytes()
    for lost_bytes, fault in ((1, "incomplete record body"), (len(b"three") + 3, "incomplete record header")):
        (tmp_path / "r").write_bytes(complete[:-lost_bytes])
        reopened = AppendLog(str(tmp_path), "r")
        assert reopened.bodies == [b"one", b"two"] and fault in reopened.torn_tail
        reopened.close()
    (tmp_path / "r").write_bytes(complete[:-1] + b"X")
    reopened = AppendLog(str(tmp_path), "r")
    assert "checksum" in reopened.torn_tail
    reopened.append(b"new")
    reopened.close()
    assert AppendLog(str(tmp_path), "r").bodies == [b"one", b"two", b"new"]
    (tmp_path / "s").write_bytes(b"something else")
    with pytest.raises(AppendLogFormatError, match="expected records"):
        AppendLog(str(tmp_path), "s")


def count_descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_failed_attempt_to_open_releases_the_lock(tmp_path, monkeypatch):
    """The lock of a foreign file stayed, so a second attempt of the process found it locked for good."""
    before = count_descriptors()
    (tmp_path / "foreign").write_bytes(b"something else")
    for _ in range(2):
        with pytest.raises(AppendLogFormatError):
            AppendLog(str(tmp_path), "foreign")
    (tmp_path / "folder").mkdir()
    for _ in range(2):
        with pytest.raises(AppendLogUnavailableError, match="directory"):
            AppendLog(str(tmp_path), "folder")
    with monkeypatch.context() as patch:
        patch.setattr(append_log.os, "fsync", lambda _: (_ for _ in ()).throw(OSError(errno.EIO, "failed")))
        for _ in range(2):
            with pytest.raises(AppendLogUnavailableError, match="failed"):
                AppendLog(str(tmp_path), "new")
            (tmp_path / "new").unlink()
    assert count_descriptors() == before
    (tmp_path / "foreign").unlink()
    for name in ("foreign", "new"):
        AppendLog(str(tmp_path), name).close()
