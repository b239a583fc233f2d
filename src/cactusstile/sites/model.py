"""Model of a site: routes, services, stores, workspaces and targets."""

from __future__ import annotations

import enum

import attrs

from cactusstile.http import request_limits
from cactusstile.transport import address


class Kind(enum.Enum):
    """Kind of a route's requests; decides how a failed one may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Share:
    """A service's share of the requests of a route; weights are relative."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rule that maps requests to services, with its limits.

    Attributes:
      name: Name of the route.
      host: Host of the requests, in lower case.
      prefix: Prefix of the request path.
      kind: Decides which failed requests may be retried.
      shares: Services that receive the requests, with their weights.
      timeout_s: Longest time until the final answer.
      objective_s: Latency objective of the answer; of the first event if the
        answer is a stream.
      gap_s: Objective of the longest pause between two events of a stream.
      priority: Priority; 0 is the highest.
      max_attempts: Greatest number of targets that a request is sent to.
      public: Whether requests need no key.
      resumable: Whether a stream may be resumed at another target.
      regions: Regions that may run its requests; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float = 1.0
    gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


@attrs.frozen
class Engine:
    """Properties common to all engines of a service.

    Attributes:
      slots: Requests that an engine runs concurrently.
      kv_tokens: Tokens of KV cache that fit into an engine's memory.
      kv_token_bytes: Size of the KV cache of one token, in bytes.
      models: Names of the models.
      backs_up: Whether an engine copies the growing KV cache of a run to
        another engine.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int = 0
    models: tuple[str, ...] = ()
    backs_up: bool = False


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
      name: Name of the service.
      max_connections: Connections that a target accepts from all callers.
      engine: Properties of its engines; None for a plain service.
      cold_start_s: Time for which a target is cold after its start, in seconds.
      cold_per_s: Requests per second that a cold target bears from all callers;
        0 if it bears any number.
    """

    name: str
    max_connections: int = 0
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class Store:
    """A store of KV cache.

    Attributes:
      name: Name of its service.
      address: Address at which it listens.
      data_centre: Data centre of its VM.
      kv_tokens: Capacity, in tokens of KV cache.
    """

    name: str
    address: address.Address
    data_centre: str
    kv_tokens: int


@attrs.frozen
class KeptPart:
    """KV cache of a prompt part that a store holds completely.

    Attributes:
      salt: Salt under which the part was computed; see `salts`.
      id: Identity of the part.
      tokens: Length of the part; 0 if it was removed.
    """

    salt: str
    id: str
    tokens: int


@attrs.frozen
class Workspace:
    """A workspace with its keys.

    Attributes:
      name: Name of the workspace.
      keys: Keys by which its callers authenticate.
      priority: Priority, compared before that of the route; if None, only
        the route's priority counts.
      isolated: Whether its KV cache is isolated from all other workspaces.
      regions: Regions that may run its requests; empty for any.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    isolated: bool = False
    regions: frozenset[str] = frozenset()


@attrs.frozen
class SiteConfiguration:
    """Configuration of a site.

    Attributes:
      version: Number assigned by the operator; the highest one is in force.
      routes: All routes.
      services: All services by name.
      workspaces: All workspaces; None if callers need no key.
      limits: Limits of the requests and connections of callers.
      stores: Stores of KV cache.
      shared_scope: Number of the cache scope of all workspaces that are not
        isolated; another one begins when a workspace becomes isolated.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...] | None
    limits: request_limits.CallerLimits
    stores: tuple[Store, ...] = ()
    shared_scope: int = 0


@attrs.frozen
class Weights:
    """A version of a model's weights."""

    model: str
    version: int


@attrs.frozen
class Target:
    """A target in the platform's list.

    Attributes:
      id: Identity, which usually changes with each start.
      born_ms: Unix time of its start, in ms; 0 if unknown. Distinguishes two
        starts with the same id.
      service: Name of its service.
      address: Address at which it listens.
      data_centre: Data centre of its VM.
      slots: Requests that it runs concurrently.
      leaving: Whether it accepts no new requests.
      cold_s: Remaining time for which it is slow after its start.
      weights: Versions of the weights that it holds.
      swapping: Whether a swap of its weights is in progress.
      build: Version of its software; empty if unknown. What targets of two
        builds write does not fit together.
    """

    id: str
    service: str
    address: address.Address
    data_centre: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    cold_s: float = 0.0
    weights: tuple[Weights, ...] = ()
    swapping: bool = False
    build: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify one start of this target."""
        return self.id, self.born_ms

    @property
    def start_id(self) -> str:
        """Text that identifies one start of this target.

        >>> target = Target("t", "s", address.Address("127.0.0.1", 1), "d", 1)
        >>> target.start_id, attrs.evolve(target, born_ms=7).start_id
        ('t', 't@7')
        """
        return f"{self.id}@{self.born_ms}" if self.born_ms else self.id


class InvalidConfigurationError(Exception):
    """Raised when a configuration is invalid; the message states why."""
