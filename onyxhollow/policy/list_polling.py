"""When to poll the endpoint list: at the start, and again after a failed poll.

A change of the list counts as known to an instance some seconds after the service has it and can be reached,
even if the first poll after an outage waits in the service's queue and fails. The backoffs leave time for
that poll and for the one after it. They are spread, because all instances lose the list at once.
"""

from __future__ import annotations

import math

from onyxhollow.policy.state import PolicyState

NOTIFICATION_LIMIT_SECONDS = 6.0  # after which an instance counts as notified of a change
ANSWER_RESERVE_SECONDS = 0.5  # before such a limit, for the answer of the last poll
LONGEST_FAILED_POLL_SECONDS = 3.5  # after which a poll that waits for its turn has failed
IMMEDIATE_FAILURE_SECONDS = 0.3  # a poll that fails sooner has not waited for its turn
MIN_BACKOFF_LIMIT_SECONDS = 0.25  # so that the polls of many instances stay spread
# Two backoffs and the failed poll between them fit in the limit, if the second one is the shortest.
MAX_BACKOFF_SECONDS = (
    NOTIFICATION_LIMIT_SECONDS
    - ANSWER_RESERVE_SECONDS
    - LONGEST_FAILED_POLL_SECONDS
    - MIN_BACKOFF_LIMIT_SECONDS
)
MAX_BACKOFF_SHARE = 0.6  # of the poll interval
MAX_BACKOFF_DOUBLINGS = 9
BACKOFF_JITTER = (0.25, 1.0)  # factors of the longest backoff


def schedule_first_poll(state: PolicyState, phase: float) -> None:
    """Schedule the first poll by a random phase from 0 to 1, as many instances may start at once."""
    spread = min(state.poll_spread, state.max_poll_interval / 2)
    state.next_poll_at = state.host.now + phase * spread


def poll_if_due(state: PolicyState) -> None:
    """Poll the list if a poll is due, and schedule the next one in case no answer comes."""
    if state.poll_needed and state.host.now >= state.next_poll_at:
        state.next_poll_at = state.host.now + state.max_poll_interval / 2
        state.list_polled_at = state.host.now
        state.host.poll_endpoint_list()


def on_list_answer(state: PolicyState) -> None:
    """Stop polling after an answer: the host watches the list from now on."""
    if state.list_failures:
        state.host.log(f"list watched: failures before {state.list_failures}")
    state.poll_needed = False
    state.list_failures = 0
    state.requested_list_due_at = math.inf


def on_list_requested(state: PolicyState, limit: float) -> None:
    """Record that the host polls by itself, for a list that counts as known `limit` seconds from now."""
    state.list_failures = 0
    state.list_polled_at = state.host.now
    state.requested_list_due_at = state.host.now + limit - ANSWER_RESERVE_SECONDS


def on_list_failure(state: PolicyState) -> None:
    """Schedule a poll after an exponential backoff with jitter."""
    now = state.host.now
    limit = backoff_limit(state)
    state.poll_needed = True
    state.list_failures += 1
    state.list_failed_at = now
    if now >= state.requested_list_due_at:  # missed; the poll after this backoff makes up for it
        state.requested_list_due_at = math.inf
    base_backoff = state.poll_spread / 4
    longest_backoff = min(
        state.max_poll_interval * min(MAX_BACKOFF_SHARE, base_backoff),
        base_backoff * 2 ** min(MAX_BACKOFF_DOUBLINGS, state.list_failures),
        limit,
    )
    if state.list_failures == 1:
        state.host.log(f"list lost: asking again within {longest_backoff:.2f} s")
    state.next_poll_at = now + longest_backoff * state.rng.uniform(*BACKOFF_JITTER)


def backoff_limit(state: PolicyState) -> float:
    """Return the longest backoff in seconds after a failure, so that an answer comes within the limits.

    A service that fails a poll at once can't be reached, and its changes count from its return. A poll that
    has waited before it failed uses up the time for changes that came since the failure before it.
    """
    now = state.host.now
    failed_at_once = now - state.list_polled_at < IMMEDIATE_FAILURE_SECONDS
    missed_since = state.list_failed_at if state.list_failures and not failed_at_once else now
    last_poll_at = min(
        missed_since + NOTIFICATION_LIMIT_SECONDS - ANSWER_RESERVE_SECONDS, state.requested_list_due_at
    )
    backoff = last_poll_at - now
    if failed_at_once:  # the next poll may wait and fail, and one more has to follow it
        backoff -= LONGEST_FAILED_POLL_SECONDS + MIN_BACKOFF_LIMIT_SECONDS
    return min(MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_LIMIT_SECONDS, backoff))
