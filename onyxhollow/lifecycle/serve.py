"""Startup of one proxy process and its exit status."""

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
    """Run one proxy until a signal ends it; return the exit status.

    Args:
        config: The configuration read from `path`.
        path: Of the configuration file, which a reload reads again.
        signals: The signals of this process, queued since before the configuration was read.
        attach: Adds extensions to the proxy before its loop runs.
    """
    raise_descriptor_limit()
    os.set_blocking(sys.stdout.fileno(), False)
    inherited_listener = handover = None
    try:
        descriptor = os.environ.get("LB_LISTEN_FD")
        if descriptor:
            inherited_listener = open_inherited_socket(descriptor)
            with contextlib.suppress(OSError):  # no usable folder: runs without a handover
                handover = Handover(os.environ.get("TMPDIR", ""))
        proxy = Proxy(
            config,
            sys.stdout.fileno(),
            lambda: read_config(path, is_reload=True),
            inherited_listener,
            handover,
        )
        if attach is not None:
            attach(proxy)
    except ListenError as error:
        sys.stderr.write(f"onyxhollow: {path}: {error}\n")
        return EXIT_BAD_CONFIGURATION
    proxy.run(signals)
    return 0
