"""SIGHUP: the configuration is read again, checked whole, and applied in one step or not at all."""

from __future__ import annotations

from collections.abc import Callable

from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.lifecycle.config import Config, ConfigError, needs_restart
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch, WatchTerms
from onyxhollow.wire.health_checks import HealthChecker
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry, SessionSettings

MAX_LOGGED_REASON = 200  # characters
BYTES_PER_MEBIBYTE = 1 << 20


class ConfigReloader:
    """Holds the configuration in force, and replaces it."""

    def __init__(
        self,
        context: NetworkContext,
        config: Config,
        reread_config: Callable[[], Config],
        apply_limits: Callable[[Config], None],
        sessions: SessionRegistry,
        health_checker: HealthChecker,
        discovery: EndpointListWatch,
        decisions: DecisionAdapter,
    ) -> None:
        self.counters = context.counters
        self.log = context.log
        self.config = config
        self.reread_config = reread_config
        self.apply_limits = apply_limits
        self.sessions = sessions
        self.health_checker = health_checker
        self.discovery = discovery
        self.decisions = decisions

    def reload(self) -> None:
        """Reads the file again. Sessions go on, also during a stop, for which new ones are still placed."""
        self.counters.add("reloads")
        try:
            config = self.reread_config()
            self.check_running(config)
        except ConfigError as error:  # missing, half-written, bad: the old one stays in force
            self.counters.add("reloads refused")
            self.log("reload refused", why=str(error)[:MAX_LOGGED_REASON])
            return
        changed = config.settings != self.config.settings
        self.log(
            "reload",
            discovery=config.discovery,
            sockets=config.max_sockets,
            memory=config.memory_bytes // BYTES_PER_MEBIBYTE,
            settings=changed,
        )
        self.config = config
        self.apply_limits(config)
        if changed:
            self.counters.add("settings taken over")
            self.apply_settings(config)
        self.discovery.switch_to(config.discovery, resync=changed)

    def check_running(self, config: Config) -> None:
        """ConfigError if the file changes what no running proxy can change."""
        reason = needs_restart(self.config, config)
        if reason:
            raise ConfigError(reason)

    def apply_settings(self, config: Config) -> None:
        """Applies other settings, between two turns of the loop: no session sees half of them.

        Sessions taken before keep their listener's terms and their attempts. The list is asked for whole: its
        weights may mean another thing now.
        """
        settings = config.settings
        self.sessions.apply_settings(SessionSettings.of(settings, config.connect_timeout))
        self.health_checker.apply_settings(settings.load_field, config.health_check_timeout)
        self.discovery.apply_settings(WatchTerms.of(settings))
        self.decisions.reconfigure(settings)
