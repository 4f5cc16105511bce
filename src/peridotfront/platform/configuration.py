"""Parsing of the platform's operator configuration into routes."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.routes import (
    DEFAULT_HEALTH_PATH,
    CallerLimits,
    EngineProperties,
    Route,
    RoutedAccount,
    RoutedService,
    RouteKind,
    RoutingConfig,
    WeightedService,
)
from ..exceptions import SettingsInvalid
from ..ini import Fault

SOURCE = "configuration"
# Every number fits into a message, also after a conversion or a sum.
MAX_NUMBER = 2**53
MAX_VERSION = 2**63 - 1
NonNegativeInt = Annotated[int, Field(ge=0, le=MAX_NUMBER)]
PositiveInt = Annotated[int, Field(ge=1, le=MAX_NUMBER)]
NonNegativeFloat = Annotated[float, Field(ge=0, le=MAX_NUMBER)]
PositiveFloat = Annotated[float, Field(gt=0, le=MAX_NUMBER)]


def _pascal_case(name: str) -> str:
    return "".join(word.capitalize() for word in name.split("_"))


class WireModel(BaseModel):
    """Base class of the platform's messages, whose keys are in PascalCase."""

    model_config = ConfigDict(
        alias_generator=_pascal_case, frozen=True, extra="ignore", strict=False
    )


class WireTarget(WireModel):
    """Weighted service of a route that is split among several."""

    service: str
    weight: NonNegativeInt = 1


class WireRoute(WireModel):
    """Route to one service, or to several with weights.

    ``priority`` 0 is the highest. ``public`` routes need no key.
    """

    name: str = ""
    host: str = Field(min_length=1)
    prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: PositiveFloat
    goal_ms: NonNegativeFloat = 0
    gap_target_ms: NonNegativeFloat = 0
    priority: NonNegativeInt = 0
    service: str = ""
    backends: tuple[WireTarget, ...] = ()
    attempts: PositiveInt = 1
    public: bool = False
    resumable: bool = False


class WireEngine(WireModel):
    """Properties of the model engines of a service.

    ``stride`` is the number of tokens in one event of a stream.
    """

    slots: PositiveInt = 1
    kv_capacity: PositiveInt = 1
    stride: PositiveInt = 1


class WireService(WireModel):
    """Service; one with ``engine`` runs models."""

    name: str = Field(min_length=1)
    engine: WireEngine | None = None
    health_path: str | None = None


class WireAccount(WireModel):
    """Client account.

    ``unit`` is the unit that ``rate_per_s`` and ``burst`` count: ``tokens``, or else
    requests.
    """

    name: str = Field(min_length=1)
    api_keys: tuple[str, ...] = ()
    priority: NonNegativeInt | None = None
    unit: str = ""
    plain_tokens: NonNegativeInt = 0
    rate_per_s: NonNegativeFloat = 0
    burst: NonNegativeFloat = 0


class WireLimits(WireModel):
    """Limits on callers' requests and connections."""

    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 4_194_304
    header_timeout_ms: PositiveFloat = 3000
    idle_timeout_ms: PositiveFloat = 15_000


class WireConfiguration(WireModel):
    """Complete configuration."""

    version: int = Field(ge=1, le=MAX_VERSION, strict=True)
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    tenants: tuple[WireAccount, ...] = ()
    limits: WireLimits = Field(default_factory=WireLimits)


def parse_configuration(text: str | bytes) -> RoutingConfig:
    """Parse and validate a configuration.

    :param text: the complete configuration as JSON.
    :raises SettingsInvalid: with all faults of the schema or, if it has none, with
        all other faults.
    """
    try:
        wire = WireConfiguration.model_validate_json(text)
    except ValidationError as error:
        raise SettingsInvalid(SOURCE, tuple(_find_schema_faults(error))) from error
    faults = tuple(_find_faults(wire))
    if faults:
        raise SettingsInvalid(SOURCE, faults)
    return _build_routing(wire)


def parse_routing(content: str, version: int) -> RoutingConfig:
    """Parse an accepted configuration.

    :param version: ignored, since the content has its own version.
    :raises SettingsInvalid: if this release cannot read the configuration.
    """
    return parse_configuration(content)


def _find_schema_faults(error: ValidationError) -> Iterator[Fault]:
    for detail in error.errors(include_input=False):
        location = ".".join([str(part) for part in detail["loc"]])
        yield Fault(SOURCE, location, "", detail["msg"])


def _find_faults(wire: WireConfiguration) -> Iterator[Fault]:
    service_names = {service.name for service in wire.services}
    for route in wire.routes:
        yield from _find_route_faults(route, service_names)
    match_counts = Counter((route.host.lower(), route.prefix) for route in wire.routes)
    for (host, prefix), count in match_counts.items():
        if count > 1:
            yield Fault(SOURCE, host, prefix, "two routes have this host and prefix")
    yield from _find_key_faults(wire.tenants)


def _find_route_faults(route: WireRoute, service_names: set[str]) -> Iterator[Fault]:
    targets = _build_weighted_services(route)
    for target in targets:
        if target.service not in service_names:
            yield Fault(route.name, "service", target.service, "is not a service")
    if sum(target.weight for target in targets) == 0:
        yield Fault(route.name, "weight", "0", "the weights add up to 0")


def _find_key_faults(accounts: Iterable[WireAccount]) -> Iterator[Fault]:
    holders: dict[str, str] = {}
    for account in accounts:
        for key in account.api_keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                yield Fault(account.name, "key", "", f"{holder} holds it too")


def _build_weighted_services(route: WireRoute) -> tuple[WeightedService, ...]:
    if route.backends:
        return tuple([WeightedService(b.service, b.weight) for b in route.backends])
    return (WeightedService(route.service, 1),)


def _build_routing(wire: WireConfiguration) -> RoutingConfig:
    limits = wire.limits
    return RoutingConfig(
        version=wire.version,
        routes=tuple([_build_route(route) for route in wire.routes]),
        services=tuple([_build_service(service) for service in wire.services]),
        accounts=tuple([_build_account(account) for account in wire.tenants]),
        caller_limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_ms=int(limits.header_timeout_ms),
            idle_timeout_ms=int(limits.idle_timeout_ms),
        ),
    )


def _build_route(route: WireRoute) -> Route:
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=RouteKind(route.kind),
        timeout_ms=int(route.timeout_ms),
        goal_ms=int(route.goal_ms),
        gap_target_ms=int(route.gap_target_ms),
        tier=route.priority + 1,
        services=_build_weighted_services(route),
        attempts=route.attempts,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _build_service(service: WireService) -> RoutedService:
    engine = service.engine
    health_path = service.health_path or DEFAULT_HEALTH_PATH
    if engine is None:
        return RoutedService(service.name, health_path=health_path)
    properties = EngineProperties(engine.slots, engine.kv_capacity, engine.stride)
    return RoutedService(service.name, properties, health_path)


def _build_account(account: WireAccount) -> RoutedAccount:
    return RoutedAccount(
        name=account.name,
        keys=account.api_keys,
        tier=None if account.priority is None else account.priority + 1,
        is_metered_in_tokens=account.unit == "tokens",
        plain_tokens=account.plain_tokens,
        rate_per_s=account.rate_per_s,
        burst=account.burst,
    )
