"""Limits of the HTTP listeners of a process, and the servers under them."""

from dataclasses import dataclass, field

from .core.routes import CallerLimits
from .exchanges import HttpLimits
from .held_bytes import HeldBytes
from .http_server import Handler, HttpServer
from .metrics import Metrics

BYTES_PER_KIB = 1024
MIN_REQUEST_TIMEOUT_MS = 15_000
MAX_TOTAL_BODY_BYTES = 48 * 1024 * 1024
MAX_CONFIG_BYTES = 16 * 1024 * 1024
# Readiness checks and reads of metrics have no bodies.
MAX_CHECK_BODY_BYTES = 64 * 1024
MAX_CHECK_CONNECTIONS = 200


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the connections of all callers.

    :param max_connections: limit on the open connections of a listener.
    :param max_requests: limit on its requests in progress.
    :param max_held_bytes: limit on the bytes in progress of all listeners.
    """

    max_connections: int = 3000
    max_requests: int = 3000
    max_held_bytes: int = 64 * 1024 * 1024


DEFAULT_LIMITS = ConnectionLimits()


@dataclass(slots=True)
class Listeners:
    """HTTP listeners of a process, which share the limit on bytes in progress.

    :param limits: limits from the settings of the process.
    :param metrics: metrics of the process.
    """

    limits: ConnectionLimits
    metrics: Metrics
    held: HeldBytes = field(init=False)
    _servers: dict[str, HttpServer] = field(init=False, default_factory=dict)

    def __post_init__(self):
        self.held = HeldBytes(self.limits.max_held_bytes)
        self.metrics.add_collector(self._collect)

    def build(self, name: str, handler: Handler, limits: HttpLimits) -> HttpServer:
        """Build the server of a listener.

        :param name: name of the listener in the metrics.
        """
        server = HttpServer(handler, limits, held=self.held)
        self._servers[name] = server
        return server

    def operator_limits(self) -> HttpLimits:
        """Return the limits of the operators' listener."""
        return HttpLimits(
            max_body_bytes=MAX_CONFIG_BYTES,
            max_total_body_bytes=MAX_TOTAL_BODY_BYTES,
            max_connections=min(MAX_CHECK_CONNECTIONS, self.limits.max_connections),
            max_requests=min(MAX_CHECK_CONNECTIONS, self.limits.max_requests),
        )

    def check_limits(self) -> HttpLimits:
        """Return the limits of the listeners for readiness checks and metrics."""
        return HttpLimits(
            max_body_bytes=MAX_CHECK_BODY_BYTES,
            max_connections=min(MAX_CHECK_CONNECTIONS, self.limits.max_connections),
            max_requests=min(MAX_CHECK_CONNECTIONS, self.limits.max_requests),
        )

    def _collect(self) -> None:
        self.metrics.set_held_bytes(self.held.total_bytes)
        for limit, count in self.held.closed.items():
            self.metrics.set_closed_connections(limit, count)
        for name, server in self._servers.items():
            for status, count in server.refusals.items():
                self.metrics.set_early_refusals(name, status, count)


def build_http_limits(
    caller_limits: CallerLimits, limits: ConnectionLimits = DEFAULT_LIMITS
) -> HttpLimits:
    """Return the limits of the callers' listener.

    :param caller_limits: limits from the configuration.
    :param limits: limits from the settings of the process.
    """
    return HttpLimits(
        max_header_bytes=caller_limits.max_header_bytes,
        max_body_bytes=caller_limits.max_body_bytes,
        max_total_body_bytes=MAX_TOTAL_BODY_BYTES,
        max_connections=limits.max_connections,
        max_requests=limits.max_requests,
        idle_timeout_ms=caller_limits.idle_timeout_ms,
        request_timeout_ms=max(caller_limits.header_timeout_ms, MIN_REQUEST_TIMEOUT_MS),
    )
