"""Number of connections that this process may hold, beside those of another process of the same proxy."""

from __future__ import annotations

from typing import Protocol

DEFAULT_LIMIT = 1000  # connections, until the configured limits are applied


class SocketCounts(Protocol):
    """Exchange of the numbers of sockets in use between the two processes of a replacement."""

    @property
    def other_publishes(self) -> bool:
        """Whether the other process is known to publish its number."""

    def count_other_sockets(self) -> int:
        """Return the number of sockets that the other process has published; 0 without one."""

    def publish_sockets(self, count: int) -> None:
        """Publish the number of sockets that this process uses."""


class ConnectionBudget:
    """Counts the open connections of this process against its limit and the one of the whole proxy.

    While one process of a proxy replaces another, the limit on sockets holds for both together. Each process
    publishes how many it uses, and what the other one uses is unavailable here.
    """

    def __init__(self) -> None:
        self.open_connections = 0
        self.limit = DEFAULT_LIMIT  # maximum of this process, if it is the only one
        self.shared_limit = DEFAULT_LIMIT  # maximum if the other process used no socket
        self.own_sockets = 0  # sockets set aside here that are no connections of this budget
        self.successor_reserve = 0  # sockets that a successor uses before it reads the number published here
        self.counts: SocketCounts | None = None  # None if this process can't be replaced

    @property
    def unavailable(self) -> int:
        """Number of connections by which the other process lowers the limit of this one."""
        if self.counts is None:
            return 0
        other = max(self.counts.count_other_sockets(), self.successor_reserve)
        if not self.counts.other_publishes:
            other = max(other, self.shared_limit // 2)
        return max(0, self.limit - self.shared_limit + other)

    @property
    def used(self) -> int:
        """Number of connections that are open here or unavailable because of the other process."""
        return self.open_connections + self.unavailable

    @property
    def is_exhausted(self) -> bool:
        """Whether no further connection may be opened."""
        return self.used >= self.limit

    def add(self) -> None:
        """Count a connection that was opened."""
        self.open_connections += 1
        self.publish()

    def remove(self) -> None:
        """Count a connection that was closed."""
        self.open_connections -= 1
        self.publish()

    def publish(self) -> None:
        """Publish the number of sockets in use here, if this process can be replaced."""
        if self.counts is not None:
            self.counts.publish_sockets(self.own_sockets + self.open_connections)
