"""Reload of the configuration on SIGHUP: validated as a whole, then applied in one step or not at all."""

from __future__ import annotations

from collections.abc import Callable

from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.lifecycle.config import Config, ConfigError, find_restart_reason
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch, WatchConfig
from onyxhollow.wire.health_checks import HealthChecker
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry, SessionSettings

NOTIFICATION_LIMIT_SECONDS = 4.0  # after a reload, until the list that it asks for counts as known
MAX_LOGGED_REASON_CHARACTERS = 200
BYTES_PER_MEBIBYTE = 1 << 20


class ConfigReloader:
    """Holds the configuration in use and replaces it on a reload."""

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
        """Read the configuration again and apply it, or keep the old one if the new one is invalid.

        Sessions continue. A reload also works during a shutdown, which still places new sessions.
        """
        self.counters.add("reloads")
        try:
            config = self.reread_config()
            self.check_applicable(config)
        except ConfigError as error:  # missing, incomplete or invalid: the old one stays in use
            self.counters.add("reloads refused")
            self.log("reload refused", why=str(error)[:MAX_LOGGED_REASON_CHARACTERS])
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
        if self.discovery.switch_to(config.discovery, resync=changed):
            self.decisions.report_list_requested(NOTIFICATION_LIMIT_SECONDS)

    def check_applicable(self, config: Config) -> None:
        """Check that a running proxy can apply a configuration.

        Raises:
            ConfigError: A change needs a restart.
        """
        reason = find_restart_reason(self.config, config)
        if reason:
            raise ConfigError(reason)

    def apply_settings(self, config: Config) -> None:
        """Apply changed settings between two turns of the loop, so that no session sees a mixture.

        Sessions in flight keep their listener's settings and their maximum number of attempts. The caller
        polls for a full snapshot of the list, since its weights may now have another meaning.
        """
        settings = config.settings
        self.sessions.apply_settings(SessionSettings.of(settings, config.connect_timeout))
        self.health_checker.apply_settings(settings.load_field, config.health_check_timeout)
        self.discovery.apply_settings(WatchConfig.of(settings))
        self.decisions.reconfigure(settings)
