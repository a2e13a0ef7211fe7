"""Classification of socket errors by their cause, which determines how they are handled.

docs/proxy.md has the same classification as a table, by system call. An error number that is not listed here
counts as caused by the peer: the connection has failed.
"""

from __future__ import annotations

import errno
from enum import Enum

SHORTAGE_RETRY_SECONDS = 0.05  # until a call is retried that failed for lack of a resource of this machine


class ErrorCause(Enum):
    """Cause of a failed system call on a socket."""

    NOT_READY = "not ready"  # the call would have blocked or was interrupted; it is retried later
    SHORTAGE = "shortage"  # this machine lacks a resource; nothing was sent, so no evidence about the peer
    NETWORK = "network"  # the path to the peer
    PEER = "peer"  # the connection, or the process at its other end


NOT_READY_ERRORS = frozenset(
    {errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS, errno.EALREADY}
)
SHORTAGE_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,  # epoll can't watch more descriptors
        errno.EADDRNOTAVAIL,  # connect found no free local port
    }
)
NETWORK_ERRORS = frozenset(
    {
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EACCES,
        errno.EPERM,
    }
)
# Errors of accept for a connection that failed before it was accepted; the listener still works.
ABORTED_CONNECTION_ERRORS = NETWORK_ERRORS | {
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.ETIMEDOUT,
}


def classify_error(error: OSError) -> ErrorCause:
    """Return the cause of an error of a call on a connected or connecting socket."""
    if error.errno in NOT_READY_ERRORS:
        return ErrorCause.NOT_READY
    if error.errno in SHORTAGE_ERRORS:
        return ErrorCause.SHORTAGE
    return ErrorCause.NETWORK if error.errno in NETWORK_ERRORS else ErrorCause.PEER


def classify_connect_error(error: OSError) -> ErrorCause:
    """Return the cause of a connect that failed at once; EAGAIN then means that no local port is free."""
    return ErrorCause.SHORTAGE if error.errno == errno.EAGAIN else classify_error(error)
