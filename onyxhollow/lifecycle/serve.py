"""Runs one proxy from its configuration to its end."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable

from onyxhollow.lifecycle.config import Config, read_config
from onyxhollow.lifecycle.handover import Handover, open_inherited_socket
from onyxhollow.lifecycle.limits import raise_descriptor_limit
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.lifecycle.signals import SignalQueue
from onyxhollow.wire.listening import ListenError

EXIT_BAD_CONFIGURATION = 2


def serve(
    config: Config,
    path: str,
    signals: SignalQueue,
    attach: Callable[[Proxy], None] | None = None,
) -> int:
    """Serves until a signal ends it; returns the exit status.

    Args:
        config: The configuration as read from `path`.
        path: Where a reload reads it again.
        signals: Made before anything is taken on.
        attach: Puts further parts on the proxy, before its loop runs.
    """
    raise_descriptor_limit()
    os.set_blocking(sys.stdout.fileno(), False)
    given = handover = None
    try:
        descriptor = os.environ.get("LB_LISTEN_FD")
        if descriptor:
            given = open_inherited_socket(descriptor)
            with contextlib.suppress(OSError):  # no such folder: nothing is handed over
                handover = Handover(os.environ.get("TMPDIR", ""))
        proxy = Proxy(
            config,
            sys.stdout.fileno(),
            lambda: read_config(path, again=True),
            given,
            handover,
        )
        if attach is not None:
            attach(proxy)
    except ListenError as error:
        sys.stderr.write(f"onyxhollow: {path}: {error}\n")
        return EXIT_BAD_CONFIGURATION
    proxy.run(signals)
    return 0
