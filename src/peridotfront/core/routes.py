"""Routes: which service a request goes to, on whose account, and with what rights."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Names what may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Names a service and the share of a route's requests that go there."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Maps a host and a prefix of paths to services.

    :param host: of the request, in lower case and without a port.
    :param prefix: begins and ends with a slash.
    :param timeout_ms: the longest time that a caller is kept waiting.
    :param goal_ms: until the answer, or the first event of a stream.
    :param gap_target_ms: the longest pause between two events of a stream.
    :param tier: 1 is the highest; that of the account goes first.
    :param attempts: upstreams that may run one request.
    :param is_public: whether no account is needed.
    :param is_resumable: whether a stream may go on at another upstream.
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
        """Tell whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def service_at(self, share: float) -> str:
        """Return the service at a position from 0 to 1 among the weights."""
        rest = share * sum(one.weight for one in self.services)
        for one in self.services:
            rest -= one.weight
            if rest < 0:
                return one.service
        return [one.service for one in self.services if one.weight][-1]


@dataclass(frozen=True, slots=True)
class EngineProperties:
    """Describes the model engines of a service.

    :param slots: requests in one batch.
    :param kv_capacity_tokens: memory for running requests and cached prefixes.
    :param tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class RoutedService:
    """Is a service that routes name.

    :param engine: None for a plain service.
    """

    name: str
    engine: EngineProperties | None = None


@dataclass(frozen=True, slots=True)
class RoutedAccount:
    """Is a client account of the routes.

    :param keys: that its callers show.
    :param tier: of its requests; None leaves that to the route.
    :param is_metered_in_tokens: whether the allowance counts tokens, else requests.
    :param plain_tokens: what a request without a token count takes.
    :param rate_per_s: allowance over all hosts; 0 for none.
    :param burst: what may be taken at once above the rate.
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
    """Bounds what a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Is a whole configuration of routes.

    :param version: 0 if none is known yet.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    accounts: tuple[RoutedAccount, ...] = ()
    caller_limits: CallerLimits = field(default_factory=CallerLimits)


class RouteTable:
    """Finds the route of a request and the account of a key."""

    def __init__(self, routing: RoutingConfig):
        self.routing = routing
        self._routes = {(one.host, one.prefix): one for one in routing.routes}
        self._accounts = {
            key: account for account in routing.accounts for key in account.keys
        }
        self._tiers = _ranked_tiers(routing)
        self._tokens_per_event = {
            one.name: one.engine.tokens_per_event
            for one in routing.services
            if one.engine
        }

    @property
    def version(self) -> int:
        """Return the version of the configuration; 0 if there is none yet."""
        return self.routing.version

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def needs_account(self, route: Route) -> bool:
        """Tell whether a request of a route must show the key of an account."""
        return bool(self.routing.accounts) and not route.is_public

    def find_account(self, key: str) -> RoutedAccount | None:
        """Return the account that holds a key."""
        return self._accounts.get(key)

    def effective_tier(
        self, route: Route, account: RoutedAccount | None, service: str
    ) -> int:
        """Return the tier of a request among all those for a service.

        The tier of the account goes first, then that of the route.
        """
        return self._tiers[service][_tier_pair(route, account)]

    def tokens_per_event(self, service: str) -> int:
        """Return the tokens in one event of a service's streams."""
        return self._tokens_per_event.get(service, 1)


def _tier_pair(route: Route, account: RoutedAccount | None) -> tuple[int, int]:
    account_tier = account.tier if account is not None else None
    return (route.tier if account_tier is None else account_tier, route.tier)


def _ranked_tiers(routing: RoutingConfig) -> dict[str, dict[tuple[int, int], int]]:
    """Number the pairs of account and route tier that each service may get."""
    pairs: dict[str, set[tuple[int, int]]] = defaultdict(set)
    for route in routing.routes:
        accounts = (None,) if route.is_public else routing.accounts or (None,)
        for one in route.services:
            pairs[one.service].update(_tier_pair(route, each) for each in accounts)
    return {
        service: {pair: rank for rank, pair in enumerate(sorted(found), start=1)}
        for service, found in pairs.items()
    }
