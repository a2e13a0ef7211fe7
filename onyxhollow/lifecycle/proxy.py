"""Assembly of one proxy from its parts, and its event loop."""

from __future__ import annotations

import gc
import signal
import socket
import traceback
from collections.abc import Callable, Generator, Mapping
from random import Random
from typing import Protocol

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.config import Config
from onyxhollow.lifecycle.draining import ClientMigrator, OperatorDrain
from onyxhollow.lifecycle.first_list import FirstList
from onyxhollow.lifecycle.handover import Handover
from onyxhollow.lifecycle.limits import Limits, compute_limits
from onyxhollow.lifecycle.log import Log
from onyxhollow.lifecycle.operator_pages import OperatorPages
from onyxhollow.lifecycle.reloading import BYTES_PER_MEBIBYTE, ConfigReloader
from onyxhollow.lifecycle.replacement import Replacement
from onyxhollow.lifecycle.shutdown import Shutdown
from onyxhollow.lifecycle.signals import SignalQueue
from onyxhollow.loop import READ, Loop
from onyxhollow.management.api import Answer, Management
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.endpoint_addresses import EndpointAddresses
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch, WatchConfig
from onyxhollow.wire.health_checks import HealthChecker
from onyxhollow.wire.listening import listen_socket
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry, SessionSettings

TIMER_RETRY_SECONDS = 0.05  # until the next call after a failure in the policy's timer
MAX_LOGGED_TRACE_CHARACTERS = 2000

Routes = dict[str, Mapping[str, Callable[[str], Answer]]]  # by path and method


class ProxyExtension(Protocol):
    """A further service in this process, for example a fleet member, that runs on the proxy's event loop."""

    def on_endpoint_list(self, kind: EndpointListKind, endpoints: list[Endpoint]) -> None:
        """Handle a change of the endpoint list or a failure of the list service."""

    def close(self) -> None:
        """Release all resources: the process ends."""


class Proxy:
    """Owns all parts of one proxy.

    The constructor raises ListenError if an address cannot be listened on.
    """

    def __init__(
        self,
        config: Config,
        log_descriptor: int,
        reread_config: Callable[[], Config],
        inherited_listener: socket.socket | None = None,
        handover: Handover | None = None,
    ) -> None:
        self.counters = Counters()
        self.pool = BufferPool()
        self.pool.budget.counts = handover
        self.addresses = EndpointAddresses()
        self.log = Log(log_descriptor, config.name)
        self.loop = Loop(self.report_failure)
        self.handover = handover
        self.extensions: list[ProxyExtension] = []
        self.first_list = FirstList()
        settings = config.settings
        is_successor = handover is not None and handover.is_successor
        must_wait = is_successor or not settings.list_is_polled
        phase = ServicePhase.STARTING if must_wait else ServicePhase.IN_SERVICE
        self.service = ServiceState(phase, accepts_while_starting=not is_successor)
        self.listener = inherited_listener or listen_socket(config.listen, "listen")
        for name, address in config.known.addresses.items():
            self.addresses.store(name, address)
        context = NetworkContext(self.loop, self.pool, self.counters, self.addresses, self.log.event)
        self.discovery = EndpointListWatch(
            context,
            config.discovery,
            WatchConfig.of(settings),
            clock=config.clock,
            known=config.known,
            on_update=self.on_endpoint_list,
            rng=Random(config.seed),
            answer_at_once=must_wait,
        )
        self.health_checker = HealthChecker(
            context, settings.load_field, config.health_check_timeout, on_result=self.on_health_check
        )
        self.decisions = DecisionAdapter(
            lambda: self.loop.now,
            settings,
            config.seed,
            self.counters,
            log=lambda line: self.log.event("mode", line=line),
            check_health=self.health_checker.start_check,
            poll_endpoint_list=self.discovery.poll,
        )
        self.decisions.report_list(EndpointListKind.CACHED, config.known.endpoints)
        self.sessions = SessionRegistry(
            context, self.decisions, self.service, SessionSettings.of(settings, config.connect_timeout)
        )
        self.acceptor = ClientAcceptor(context, self.sessions, self.service, self.listener)
        migrator = ClientMigrator(context, self.sessions)
        self.drain = OperatorDrain(context, self.sessions, self.service, self.acceptor, migrator, handover)
        self.replacement = self.make_replacement(context, handover)
        self.shutdown = Shutdown(
            context,
            self.sessions,
            self.service,
            self.acceptor,
            migrator,
            self.replacement,
            self.close_extensions,
        )
        self.reloader = ConfigReloader(
            context,
            config,
            reread_config,
            self.apply_limits,
            self.sessions,
            self.health_checker,
            self.discovery,
            self.decisions,
        )
        self.routes = self.make_routes()
        self.management: Management | None = None
        if config.management is not None:
            self.management = Management(self.loop, config.management, self.counters, self.routes)
        self.apply_limits(config)
        self.start_coroutines(must_wait and not is_successor)

    def make_replacement(self, context: NetworkContext, handover: Handover | None) -> Replacement | None:
        """Return the replacement coordinator, or None without a handover between processes."""
        if handover is None:
            return None
        return Replacement(
            context,
            handover,
            self.sessions,
            self.service,
            self.acceptor,
            self.discovery,
            self.decisions,
            self.first_list,
        )

    def make_routes(self) -> Routes:
        """Return the routes of the management API; extensions add theirs later."""
        pages = OperatorPages(self.counters, self.service, self.sessions, self.decisions)
        return {
            "/control/ready": {"GET": pages.get_ready},
            "/control/counters": {"GET": pages.get_metrics},
            "/control/out-of-service": {"POST": self.drain.take_out_of_service},
            "/control/in-service": {"POST": self.drain.put_in_service},
        }

    def start_coroutines(self, waits_for_list: bool) -> None:
        """Start the coroutines of the proxy, and accept clients if the service state allows it.

        Args:
            waits_for_list: Whether to accept clients only after the first answer of the list service.
        """
        self.loop.spawn(self.run_timer())
        self.acceptor.update()
        if self.replacement is not None:
            self.first_list.replacement_task = self.loop.spawn(
                self.replacement.run(lambda: self.config.discovery)
            )
        if waits_for_list:
            self.first_list.accepting_task = self.loop.spawn(
                self.first_list.begin_service(self.loop, self.service, self.acceptor)
            )

    @property
    def config(self) -> Config:
        """The configuration in use."""
        return self.reloader.config

    def apply_limits(self, config: Config) -> None:
        """Apply the limits of a configuration to the parts of the proxy."""
        limits = compute_limits(config, self.management is not None)
        if self.management is not None:
            self.management.max_connections = limits.management_connections
        self.apply_connection_budget(limits)
        self.shutdown.stop_time = limits.stop_time
        self.acceptor.max_connections = limits.accepted_connections
        self.sessions.connection_limit = limits.client_connections
        self.sessions.free_descriptors()  # the limit may be lower now
        self.health_checker.max_connections = limits.health_check_connections
        self.pool.high_water_mark = limits.high_water_mark

    def apply_connection_budget(self, limits: Limits) -> None:
        """Apply the limits on the connections of this process and of the whole proxy."""
        budget = self.pool.budget
        budget.limit = limits.connections
        budget.shared_limit = limits.shared_connections
        budget.own_sockets = limits.own_sockets
        budget.successor_reserve = limits.own_sockets  # a successor sets aside as many
        budget.publish()

    # callbacks of the network code

    def on_endpoint_list(self, kind: EndpointListKind, endpoints: list[Endpoint]) -> None:
        """Apply an update or a failure of the endpoint list watch."""
        self.first_list.on_update(kind)
        try:
            self.decisions.report_list(kind, endpoints)
            for extension in self.extensions:
                extension.on_endpoint_list(kind, endpoints)
        except Exception as error:  # noqa: BLE001 -- a failure here must not end the list watch
            self.report_failure("list", error)

    def on_health_check(
        self, endpoint: str, outcome: AttemptOutcome, duration: float, load: float | None
    ) -> None:
        """Log the result of a health check and report it to the policy.

        Args:
            endpoint: The endpoint's name.
            outcome: How the check ended.
            duration: In seconds.
            load: The load reported by the endpoint, if any.
        """
        self.log.event("probe", server=endpoint, end=outcome.value, took=round(duration, 4), load=load)
        self.decisions.report_health_check(endpoint, outcome, duration, load)

    def run_timer(self) -> Generator[float, None, None]:
        """Call the policy whenever its timer is due; a failure is logged and the timer continues."""
        while True:
            while self.loop.now < self.decisions.next_tick_at:
                yield self.decisions.next_tick_at
            try:
                self.decisions.tick()
            except Exception as error:  # noqa: BLE001 -- the proxy needs its timer for all later decisions
                self.report_failure("tick", error)
                self.decisions.next_tick_at = self.loop.now + TIMER_RETRY_SECONDS

    def report_failure(self, place: str, error: BaseException) -> None:
        """Count and log an unexpected exception.

        Args:
            place: Where it was caught.
            error: The exception.
        """
        self.counters.add("failures")
        trace = "".join(traceback.format_exception(error))
        self.log.event("failure", where=place, error=repr(error), trace=trace[-MAX_LOGGED_TRACE_CHARACTERS:])

    # process lifecycle

    def run(self, signals: SignalQueue) -> None:
        """Run the event loop until a shutdown is complete.

        Args:
            signals: The signals of this process: SIGUSR1 logs the counters, SIGHUP reloads, others shut down.
        """

        def on_signals(_: int) -> None:
            for number in signals.read_pending():  # several pending SIGHUPs cause one reload
                if number == signal.SIGUSR1:
                    self.log_counters()
                elif number == signal.SIGHUP:
                    self.reloader.reload()
                else:
                    self.shutdown.begin()

        self.loop.watch(signals.fileno(), READ, on_signals)
        gc.freeze()
        config = self.config
        self.log.event(
            "start",
            listen=config.listen,
            servers=len(config.known.endpoints),
            sockets=config.max_sockets,
            memory=config.memory_bytes // BYTES_PER_MEBIBYTE,
        )
        self.loop.run()
        if self.handover is not None:
            self.handover.publish_sockets(0)
        self.log_counters()

    def log_counters(self) -> None:
        """Log all counters and gauges."""
        gauges = {
            "live": len(self.sessions.table),
            "connections": self.pool.open_connections,
            "log lines dropped": self.log.dropped,
        }
        self.log.event("counters", **self.counters.snapshot(), **gauges)

    def close_extensions(self) -> None:
        """Close the extensions at the end of a shutdown."""
        for extension in self.extensions:
            extension.close()
