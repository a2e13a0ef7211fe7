"""Third phase of a client connection: from UP to its end, migration or hand-off to a successor."""

from __future__ import annotations

import math
from collections.abc import Generator

from onyxhollow.interface import AttemptOutcome
from onyxhollow.session_handle import SessionHandle
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.connection_handoff import ConnectionHandoff
from onyxhollow.wire.connection_states import ConnectionEvent
from onyxhollow.wire.handoff_channel import HandoffSender
from onyxhollow.wire.line_forwarding import FINAL_WORDS, LineForwarder
from onyxhollow.wire.session_core import SessionCore


class EstablishedConnection:
    """Forwards lines in both directions until a side ends, or the client is migrated or handed off."""

    __slots__ = ("client", "forwarder", "handle", "loop", "server", "session", "started_at")

    def __init__(self, session: SessionCore, forwarder: LineForwarder, started_at: float) -> None:
        self.session = session
        self.loop = session.loop
        self.forwarder = forwarder
        self.client: Channel = forwarder.client
        self.server: Channel = forwarder.server
        self.handle: SessionHandle = forwarder.handle
        self.started_at = started_at  # loop time at which UP was forwarded, in seconds

    def run(self) -> Generator[float, None, None]:
        """Serve the connection to its end."""
        session = self.session
        forwarder = self.forwarder
        client = self.client
        server = self.server
        handle = self.handle
        while True:
            if not forwarder.forward_to_client():
                self.migrate("of a malformed server", AttemptOutcome.ERROR)
            elif not forwarder.forward_to_server():
                self.migrate("malformed", AttemptOutcome.CANCELLED)
            elif server.ended:
                self.end_with_endpoint(FINAL_WORDS.get(forwarder.final_word, AttemptOutcome.RESET))
            elif client.ended and not server.is_full:
                self.end_with_client()
            elif session.handoff_sender is not None and (yield from self.hand_off(session.handoff_sender)):
                pass  # the successor serves it from here on
            elif handle.migrate_requested or session.stopping:
                self.migrate(
                    "moved" if handle.migrate_requested else "moved at stop", AttemptOutcome.CANCELLED
                )
            elif (check_at := forwarder.check_echoes()) <= self.loop.now:
                self.migrate("silent server", AttemptOutcome.RESET)
            else:
                client.set_paused(forwarder.client_must_wait)
                server.set_paused(client.is_full)
                yield check_at
                continue
            return

    def duration(self) -> float:
        """Return the seconds since the connection was established."""
        return self.loop.now - self.started_at

    def migrate(self, reason: str, outcome: AttemptOutcome) -> None:
        """Write MOVE after the last whole line, and shut down both sides after their pending bytes."""
        session = self.session
        session.counters.add(f"clients {reason}")
        self.client.write(b"MOVE\r\n")
        self.client.finish()
        self.server.finish()
        session.end(ConnectionEvent.MIGRATED, reason)
        if outcome is AttemptOutcome.CANCELLED:
            self.handle.report_client_gone()  # this proxy ended it: no evidence about the endpoint
        self.handle.report_ended(outcome, self.duration(), True)

    def end_with_endpoint(self, outcome: AttemptOutcome) -> None:
        """End the client's side as the endpoint has ended its own, after the last bytes."""
        session = self.session
        session.counters.add(f"connections {outcome.value}")
        session.end(ConnectionEvent.ENDPOINT_ENDED, outcome.value)
        if self.server.broken and outcome is AttemptOutcome.RESET and not self.client.outgoing:
            self.client.reset()
        else:
            self.client.finish()
        self.server.close()
        self.handle.report_ended(outcome, self.duration(), True)

    def end_with_client(self) -> None:
        """End the endpoint's side as the client has ended its own, after the last bytes."""
        session = self.session
        session.counters.add("connections ended by the client")
        session.end(ConnectionEvent.CLIENT_ENDED, "client left")
        partial_line = self.client.inbox.take_rest()
        if partial_line:
            session.registry.report_malformed(f"incomplete line of {len(partial_line)} bytes")
        self.server.write(partial_line)
        if self.client.broken:
            self.server.reset()
        else:
            self.server.finish()
        self.client.close()
        self.handle.report_client_gone()
        self.handle.report_ended(AttemptOutcome.CANCELLED, self.duration(), True)

    # Hand-off to the successor process.

    def hand_off(self, sender: HandoffSender) -> Generator[float, None, bool]:
        """Offer the connection to the successor; return whether it serves the connection now.

        Nothing is read here while the successor may have it. After the hand-off this process only closes
        its descriptors: a shutdown would end the connections for the successor too.
        """
        session = self.session
        unusable = session.stopping or self.client.broken or self.server.broken
        handoff = None if unusable else self.build_handoff()
        if handoff is None:
            session.handoff_sender = None
            session.handoff_accepted = False
            return False
        for channel in (self.client, self.server):
            self.loop.watch(channel.fd, 0, None)
        if sender.send(handoff.encode(), [self.client.fd, self.server.fd], self.on_answer):
            session.advance(ConnectionEvent.HANDOFF_SENT)
            while session.handoff_accepted is None:
                yield math.inf
            if session.handoff_accepted:
                self.end_handed_off()
                return True
            session.advance(ConnectionEvent.HANDOFF_REFUSED)
        session.handoff_sender = None
        session.handoff_accepted = False
        for channel in (self.client, self.server):
            channel.update_interest()
        return False

    def on_answer(self, accepted: bool) -> None:
        """Handle the successor's answer, or False if it has disconnected."""
        self.session.handoff_accepted = accepted
        self.session.wake()

    def build_handoff(self) -> ConnectionHandoff | None:
        """Return the state that the successor needs; None if the policy no longer tracks the session."""
        tracked = self.handle.session
        request = self.session.request
        if tracked is None or request is None:
            return None
        forwarder = self.forwarder
        return ConnectionHandoff(
            request=request,
            listener=tracked.listener,
            endpoint=forwarder.endpoint,
            started_at=self.started_at,
            last_echo_at=forwarder.last_echo_at,
            in_flight=[line.sent_at for line in forwarder.in_flight],
            load=tracked.load,
            final_word=forwarder.final_word,
            unread=(self.client.inbox.unread(), self.server.inbox.unread()),
            unsent=(bytes(self.client.outgoing), bytes(self.server.outgoing)),
        )

    def end_handed_off(self) -> None:
        """Close this process's descriptors, and remove the connection from the policy here."""
        session = self.session
        session.counters.add("connections passed on")
        session.end(ConnectionEvent.HANDOFF_ACCEPTED, "passed on")
        self.client.close()
        self.server.close()
        self.handle.report_client_gone()
        self.handle.report_ended(AttemptOutcome.CANCELLED, self.duration(), True)
