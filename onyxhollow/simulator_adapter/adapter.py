"""Processes batches of simulator messages and answers each with the proxies' messages.

A batch starts with `sync` and the time, and ends with `go`. The answer consists of all messages that the
proxies sent during the batch, followed by `["ok"]`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from types import TracebackType
from typing import IO, Any, BinaryIO

from onyxhollow.settings import WireError, check_integer
from onyxhollow.simulator_adapter.instance import HANDLERS, Instance
from onyxhollow.simulator_adapter.wire import decode_message, read_seconds

PROVISION_VALUE_COUNT = 3  # proxy, seed, settings
END_OF_BATCH = '["ok"]'


class SimulatorAdapter:
    """All simulated proxies of this process. They share only the output."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.output: list[str] = []
        self.now: float | None = None  # seconds; None between batches

    def process_line(self, line: bytes) -> str | None:
        """Process one line; return the answer if the line completes a batch.

        Raises:
            WireError: The line does not follow the protocol.
        """
        name, values = decode_message(line)
        if name == "sync":
            if self.now is not None:
                raise WireError("message: expected go before the next sync, got 'sync'")
            self.now = read_seconds(values[0] if values else None, "clock")
            return None
        if self.now is None:
            raise WireError(f"message: expected sync before any other message, got {name!r}")
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
        """Pass a message to the proxy that its first value names; ignore it if there is no such proxy."""
        proxy_number = check_integer(values[0] if values else None, "proxy")
        if name == "provision":
            if len(values) < PROVISION_VALUE_COUNT:
                raise WireError(f"provision: expected {PROVISION_VALUE_COUNT} values, got {len(values)}")
            self._call(
                proxy_number,
                self._provision,
                proxy_number,
                check_integer(values[1], "initSeed"),
                values[2],
                now,
            )
        elif name == "killed":
            self.instances.pop(proxy_number, None)
        elif name in HANDLERS:
            instance = self.instances.get(proxy_number)
            if instance is not None:
                instance.now = now
                self._call(proxy_number, HANDLERS[name], instance, *values[1:])
        else:
            raise WireError(f"message: expected a known name, got {name!r}")

    def _provision(self, proxy_number: int, seed: int, options: Any, now: float) -> None:
        self.instances[proxy_number] = Instance(proxy_number, seed, options, now, self.output)

    def _call(self, proxy_number: int, call: Callable[..., None], *values: Any) -> None:
        """Run a call for one proxy; if the policy fails, end that proxy and report the error.

        Raises:
            WireError: The message is malformed.
        """
        try:
            call(*values)
        except WireError:
            raise
        except Exception as error:  # noqa: BLE001 - a failure of one proxy must not end the others
            frame = _innermost_frame(error.__traceback__)
            if isinstance(error, TypeError) and frame is error.__traceback__:
                raise WireError(f"message: wrong number of values: {error}") from None
            self.instances.pop(proxy_number, None)
            place = f"{frame.tb_frame.f_code.co_name}, line {frame.tb_lineno}" if frame else "?, line 0"
            text = f"{type(error).__name__}: {error} in {place}"
            self.output.append(json.dumps(["internalError", proxy_number, text]))


def _innermost_frame(traceback: TracebackType | None) -> TracebackType | None:
    """Return the traceback entry of the frame that raised the error."""
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback


def main(source: BinaryIO, sink: IO[str], errors: IO[str]) -> int:
    """Serve the simulator until its input ends; return 1 after reporting a malformed line on `errors`."""
    adapter = SimulatorAdapter()
    for line_number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            answer = adapter.process_line(line)
        except WireError as error:
            errors.write(f"line {line_number}: {error}\n")
            return 1
        if answer is not None:
            sink.write(answer)
            sink.flush()
    return 0
