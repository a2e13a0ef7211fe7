"""The append log: failing I/O, and what a crash leaves behind."""

import errno

import pytest

from onyxhollow import append_log as records_module
from onyxhollow.append_log import AppendLog, AppendLogError


def test_each_write_fsync_and_rename_that_fails_leaves_what_counted_before(tmp_path, monkeypatch):
    for place, name in enumerate(("pwrite", "fsync", "rename", "fsync folder")):
        folder = str(tmp_path / str(place))
        kept = AppendLog(folder, "r")
        kept.append(b"one", b"two")

        def fail(*_, **__):
            raise OSError(errno.ENOSPC, "full")

        with monkeypatch.context() as patch:
            if name == "fsync folder":
                patch.setattr(kept, "sync_folder", fail)
            else:
                patch.setattr(records_module.os, name, fail)
            with pytest.raises(OSError):
                kept.rewrite([b"three"]) if name in ("rename", "fsync folder") else kept.append(b"three")
        kept.append(b"four")  # written anew, since nobody knows what the disk holds
        kept.close()
        assert AppendLog(folder, "r").rows == [b"one", b"two", b"four"], name


def test_what_a_crash_cut_off_is_named_and_written_over(tmp_path):
    kept = AppendLog(str(tmp_path), "r")
    with pytest.raises(AppendLogError, match="another process"):
        AppendLog(str(tmp_path), "r")
    kept.append(b"one", b"two", b"three")
    kept.close()
    whole = (tmp_path / "r").read_bytes()
    for cut, told in ((1, "half a record"), (len(b"three") + 3, "half a head")):
        (tmp_path / "r").write_bytes(whole[:-cut])
        again = AppendLog(str(tmp_path), "r")
        assert again.rows == [b"one", b"two"] and told in again.cut
        again.close()
    (tmp_path / "r").write_bytes(whole[:-1] + b"X")
    again = AppendLog(str(tmp_path), "r")
    assert "checksum" in again.cut
    again.append(b"new")
    again.close()
    assert AppendLog(str(tmp_path), "r").rows == [b"one", b"two", b"new"]
    (tmp_path / "s").write_bytes(b"something else")
    with pytest.raises(AppendLogError, match="expected records"):
        AppendLog(str(tmp_path), "s")
