"""What the error of a system call on a socket says: whose fault it is, and so what is done about it.

docs/proxy.md has the same as a table, call by call. An error number that is not named here counts as the
peer's: the connection is gone.
"""

from __future__ import annotations

import errno
from enum import Enum

SHORTAGE_RETRY_SECONDS = 0.05  # seconds until something that this machine was short of is tried again


class ErrorCause(Enum):
    """Whose fault an error is."""

    NOT_READY = "not ready"  # nobody's: later
    SHORTAGE = "shortage"  # this machine's: nothing was tried and nothing is known of the other side
    NETWORK = "network"  # the way to the other side
    PEER = "peer"  # the connection, or the one at its other end


NOT_READY_ERRORS = frozenset(
    {errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS, errno.EALREADY}
)
SHORTAGE_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,  # epoll: no more descriptors may be watched
        errno.EADDRNOTAVAIL,  # connect: no port is left
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
# What accept reports of the one connection that it would have given, which has gone.
ABORTED_CONNECTION_ERRORS = NETWORK_ERRORS | {
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.ETIMEDOUT,
}


def classify_error(error: OSError) -> ErrorCause:
    """Whose fault an error of a call on a connected or connecting socket is."""
    if error.errno in NOT_READY_ERRORS:
        return ErrorCause.NOT_READY
    if error.errno in SHORTAGE_ERRORS:
        return ErrorCause.SHORTAGE
    return ErrorCause.NETWORK if error.errno in NETWORK_ERRORS else ErrorCause.PEER


def classify_connect_error(error: OSError) -> ErrorCause:
    """The same for a connect that could not be begun: EAGAIN says there that no port is left."""
    return ErrorCause.SHORTAGE if error.errno == errno.EAGAIN else classify_error(error)
