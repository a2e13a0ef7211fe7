"""The conversation with the simulator: batches of messages in, the proxies' messages out.

A batch begins with `sync` and the time, and ends with `go`. Its answer is every message the proxies have sent
in it, and `["ok"]`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from types import TracebackType
from typing import IO, Any, BinaryIO

from onyxhollow.settings import WireError, check_integer
from onyxhollow.simulator_adapter.instance import HANDLERS, Instance
from onyxhollow.simulator_adapter.wire import decode_message, read_seconds

PROVISION_VALUES = 3  # proxy, seed, settings
END_OF_BATCH = '["ok"]'


class SimulatorAdapter:
    """All proxies of this process; they share nothing but the stream they write to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.output: list[str] = []
        self.now: float | None = None  # seconds; None between batches

    def feed(self, line: bytes) -> str | None:
        """Takes one line; returns the answer if it completes a batch.

        Raises:
            WireError: the line does not follow the wire.
        """
        name, values = decode_message(line)
        if name == "sync":
            if self.now is not None:
                raise WireError("sync inside a batch")
            self.now = read_seconds(values[0] if values else None, "clock")
            return None
        if self.now is None:
            raise WireError(f"{name} outside a batch")
        if name == "go":
            return self._end_batch()
        self._dispatch(name, values, self.now)
        return None

    def _end_batch(self) -> str:
        answer = "".join(f"{row}\n" for row in [*self.output, END_OF_BATCH])
        self.output.clear()
        self.now = None
        return answer

    def _dispatch(self, name: str, values: list[Any], now: float) -> None:
        """Passes a message to the proxy that its first value names; one without that proxy is ignored."""
        number = check_integer(values[0] if values else None, "proxy")
        if name == "provision":
            if len(values) < PROVISION_VALUES:
                raise WireError("provision: too few values")
            self._guard(number, self._provision, number, check_integer(values[1], "initSeed"), values[2], now)
        elif name == "killed":
            self.instances.pop(number, None)
        elif name in HANDLERS:
            instance = self.instances.get(number)
            if instance is not None:
                instance.now = now
                self._guard(number, HANDLERS[name], instance, *values[1:])
        else:
            raise WireError(f"unknown message {name}")

    def _provision(self, number: int, seed: int, options: Any, now: float) -> None:
        self.instances[number] = Instance(number, seed, options, now, self.output)

    def _guard(self, number: int, call: Callable[..., None], *values: Any) -> None:
        """Carries out a call; a failure of the decisions ends their proxy and is reported with its text.

        Raises:
            WireError: the message is malformed.
        """
        try:
            call(*values)
        except WireError:
            raise
        except Exception as error:  # noqa: BLE001 - one proxy's failure must not end the others
            frame = _innermost(error.__traceback__)
            if isinstance(error, TypeError) and frame is error.__traceback__:
                raise WireError(f"wrong number of values: {error}") from None
            self.instances.pop(number, None)
            place = f"{frame.tb_frame.f_code.co_name}, line {frame.tb_lineno}" if frame else "?, line 0"
            text = f"{type(error).__name__}: {error} in {place}"
            self.output.append(json.dumps(["internalError", number, text]))


def _innermost(traceback: TracebackType | None) -> TracebackType | None:
    """Where an error was raised."""
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback


def main(source: BinaryIO, sink: IO[str], errors: IO[str]) -> int:
    """Serves the simulator until its input ends; returns 1 after a malformed line, named on `errors`."""
    adapter = SimulatorAdapter()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            answer = adapter.feed(line)
        except WireError as error:
            errors.write(f"line {number}: {error}\n")
            return 1
        if answer is not None:
            sink.write(answer)
            sink.flush()
    return 0
