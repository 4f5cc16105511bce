"""Routes, services and accounts, and the lookup of those that apply to a request."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

DEFAULT_HEALTH_PATH = "/healthz"


class RouteKind(StrEnum):
    """Kind of a route; it determines which of its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service of a route with its weight among the services of the route."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Mapping of a host and a path prefix to services.

    :param host: host of the request, in lower case and without a port.
    :param prefix: path prefix; begins and ends with a slash.
    :param timeout_ms: longest time that a caller waits for the answer.
    :param goal_ms: target time until the answer, or the first event of a stream.
    :param gap_target_ms: target for the longest pause between two events of a stream.
    :param tier: priority tier; 1 is the highest; the tier of the account takes
        precedence.
    :param attempts: maximum number of upstreams that may execute one request.
    :param is_public: whether no account is needed.
    :param is_resumable: whether a stream may be continued at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    goal_ms: int
    gap_target_ms: int
    tier: int
    services: tuple[WeightedService, ...]
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have been executed may be retried."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_at(self, share: float) -> str:
        """Return the service at a position among the cumulative weights.

        :param share: position, from 0 to 1.
        """
        remaining_weight = share * sum(weighted.weight for weighted in self.services)
        for weighted in self.services:
            remaining_weight -= weighted.weight
            if remaining_weight < 0:
                return weighted.service
        return [weighted.service for weighted in self.services if weighted.weight][-1]


@dataclass(frozen=True, slots=True)
class EngineProperties:
    """Properties of the model engines of a service.

    :param slots: number of requests in one batch.
    :param kv_capacity_tokens: capacity for running requests and cached prefixes, in
        tokens.
    :param tokens_per_event: number of tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class RoutedService:
    """Service that routes refer to.

    :param engine: properties of its engines; None for a plain service.
    :param health_path: path at which its upstreams answer health checks.
    """

    name: str
    engine: EngineProperties | None = None
    health_path: str = DEFAULT_HEALTH_PATH


@dataclass(frozen=True, slots=True)
class RoutedAccount:
    """Client account in the configuration of routes.

    :param keys: API keys of its callers.
    :param tier: priority tier of its requests; None if the route determines it.
    :param is_metered_in_tokens: whether the allowance counts tokens, not requests.
    :param plain_tokens: tokens charged for a request without a token count.
    :param rate_per_s: allowance over all hosts, in units per second; 0 for no limit.
    :param burst: units that may be used above the rate in a burst.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
    is_metered_in_tokens: bool = False
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time that callers may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Complete configuration of routes.

    :param version: configuration version; 0 if there is none yet.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    accounts: tuple[RoutedAccount, ...] = ()
    caller_limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def service_names(self) -> frozenset[str]:
        """Return the names of all services."""
        return frozenset([service.name for service in self.services])


class RouteTable:
    """Lookup table for the routes of requests and the accounts of keys."""

    def __init__(self, routing: RoutingConfig):
        self.routing = routing
        self._routes = {(route.host, route.prefix): route for route in routing.routes}
        self._accounts = {
            key: account for account in routing.accounts for key in account.keys
        }
        self._tiers = _ranked_tiers(routing)
        self._tokens_per_event = {
            service.name: service.engine.tokens_per_event
            for service in routing.services
            if service.engine
        }

        self._health_paths = {
            service.name: service.health_path for service in routing.services
        }

    @property
    def version(self) -> int:
        """Return the version of the configuration; 0 if there is none yet."""
        return self.routing.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        host_name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host_name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def needs_account(self, route: Route) -> bool:
        """Return whether a request of a route needs the key of an account."""
        return bool(self.routing.accounts) and not route.is_public

    def find_account(self, key: str) -> RoutedAccount | None:
        """Return the account with a key, or None."""
        return self._accounts.get(key)

    def effective_tier(
        self, route: Route, account: RoutedAccount | None, service: str
    ) -> int:
        """Return the rank of a request's tier among all tiers of a service.

        Tiers are ordered by the tier of the account, then by that of the route.
        """
        return self._tiers[service][_tier_pair(route, account)]

    def health_path(self, service: str) -> str:
        """Return the path at which a service's upstreams answer health checks."""
        return self._health_paths.get(service, DEFAULT_HEALTH_PATH)

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in one event of a service's streams."""
        return self._tokens_per_event.get(service, 1)


def _tier_pair(route: Route, account: RoutedAccount | None) -> tuple[int, int]:
    account_tier = account.tier if account is not None else None
    return (route.tier if account_tier is None else account_tier, route.tier)


def _ranked_tiers(routing: RoutingConfig) -> dict[str, dict[tuple[int, int], int]]:
    """Rank the possible pairs of account and route tier of each service."""
    pairs: dict[str, set[tuple[int, int]]] = defaultdict(set)
    for route in routing.routes:
        accounts = (None,) if route.is_public else routing.accounts or (None,)
        for weighted in route.services:
            pairs[weighted.service].update(
                _tier_pair(route, account) for account in accounts
            )
    return {
        service: {pair: rank for rank, pair in enumerate(sorted(tier_pairs), start=1)}
        for service, tier_pairs in pairs.items()
    }
