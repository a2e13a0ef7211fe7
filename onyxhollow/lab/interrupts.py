"""Start child processes so that an interrupt (SIGINT) cannot lose them."""

from __future__ import annotations

import contextlib
import signal
import threading
from collections.abc import Iterator


@contextlib.contextmanager
def deferred_interrupts() -> Iterator[None]:
    """Run the block to its end before a SIGINT that arrives in it is handled.

    Without this, a KeyboardInterrupt between the fork in `subprocess.Popen` and the assignment of its result
    leaves a child process that nobody ends. Start the child and store it in one block.

    The handler is replaced, and the signal is not blocked: a child process inherits a blocked signal, whereas
    a Python handler becomes the default action at its exec. A SIGINT that is ignored or ends the process at
    once, and any thread but the main one, raise no KeyboardInterrupt; the handler is then left as it is.
    """
    previous_handler = signal.getsignal(signal.SIGINT)
    if threading.current_thread() is not threading.main_thread() or not callable(previous_handler):
        yield
        return
    arrived: list[int] = []
    signal.signal(signal.SIGINT, lambda number, _: arrived.append(number))
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, previous_handler)
        if arrived:
            signal.raise_signal(signal.SIGINT)
