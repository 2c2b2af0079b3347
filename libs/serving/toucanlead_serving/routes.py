"""Route table: which service a request goes to, and with which options."""

from enum import Enum

from attrs import field, frozen

from toucanlead_core.ids import slot_of_key
from toucanlead_teams.teams import TeamTable

SPLIT_RESOLUTION = 10_000  # resolution of a traffic split between services


class RouteKind(str, Enum):
    """Whether a request may run more than once.

    SAFE may, UNSAFE may not; STREAM may if the route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@frozen
class Target:
    """A service and its share of a route's requests, relative to the other weights."""

    service: str
    weight: float


@frozen
class Route:
    """Matching rule and options of one route; priority 0 is the highest.

    Once `max_attempts` replicas may have run a request, it goes to others only if none of
    these is usable. Callers of a `public` route need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    priority: int = 5
    keeps_history: bool = False
    retention_s: float = 0.0
    resumable: bool = False
    target_gap_s: float | None = None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)

    def service_for(self, key: str) -> str:
        """Return the service for a key; the same key always gets the same service."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = slot_of_key(key, SPLIT_RESOLUTION) / SPLIT_RESOLUTION * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@frozen
class EngineTraits:
    """Properties common to all model engines of a service.

    `token_bytes` is the size of one token in the KV cache.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1
    token_bytes: int = 0


@frozen
class Service:
    """One service; `engine` is None for an application."""

    name: str
    health_path: str
    connection_limit: int
    engine: EngineTraits | None = None


@frozen
class CallerLimits:
    """Limits on callers' requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class RouteTable:
    """One version of the configuration; a newer one replaces it as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(factory=CallerLimits)
    teams: TeamTable = field(factory=TeamTable)
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Group the routes by host, longest path prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in hosts.items()
        }
        object.__setattr__(self, '_by_host', ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class CurrentRoutes:
    """Holds the active route table; an older version never replaces a newer one."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.active_since = 0.0

    def replace_if_newer(self, table: RouteTable, now: float) -> bool:
        """Activate a table if it is newer; return whether it is."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.active_since = now
        return True
