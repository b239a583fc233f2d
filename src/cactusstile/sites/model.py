"""What a gateway knows of its site: routes, workspaces and targets."""

from __future__ import annotations

import enum

import attrs

from cactusstile.http import callers
from cactusstile.transport import address


class Kind(enum.Enum):
    """What may be done again with a request that failed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Share:
    """A service's part of a route's requests; weights are relative."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests go, and what may be done with them.

    Attributes:
      name: Name of the route.
      host: Host that callers name, in lower case.
      prefix: Prefix of the path.
      kind: What may be repeated.
      shares: Services that answer, with their weights.
      timeout_s: Longest time until the final answer.
      objective_s: Time within which an answer is on time; of a stream, its
        first event.
      gap_s: Longest pause between events of a stream that is on time.
      priority: Rank; 0 goes first.
      max_attempts: Targets that one request may be sent to.
      public: Whether no key is needed.
      resumable: Whether a stream may go on at another target.
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


@attrs.frozen
class Engine:
    """Traits that all engines of a service share.

    Attributes:
      slots: Requests that an engine runs at once.
      kv_tokens: Tokens of KV cache that fit its memory.
      kv_token_bytes: Size of one token's KV cache.
      models: Names of the models.
      backs_up: Whether an engine copies the memory of a run to another while
        it grows.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int = 0
    models: tuple[str, ...] = ()
    backs_up: bool = False


@attrs.frozen
class Service:
    """A group of like targets.

    Attributes:
      name: Name of the service.
      max_connections: Connections that a target takes from all callers.
      engine: Traits of its engines; None for a plain service.
    """

    name: str
    max_connections: int = 0
    engine: Engine | None = None


@attrs.frozen
class Store:
    """A store of kept KV cache.

    Attributes:
      name: Name of its service.
      address: Where it listens.
      data_centre: Data centre of its VM.
      kv_tokens: Tokens of KV cache that it holds.
    """

    name: str
    address: address.Address
    data_centre: str
    kv_tokens: int


@attrs.frozen
class KeptPart:
    """A part of prompts that a store holds whole.

    Attributes:
      salt: Salt under which it was made.
      id: Identity of the part.
      tokens: Its length; 0 if it is gone.
    """

    salt: str
    id: str
    tokens: int


@attrs.frozen
class Workspace:
    """A workspace with its keys.

    Attributes:
      name: Name of the workspace.
      keys: Keys that its callers send.
      priority: Rank; goes before that of the route. None leaves it to the
        route.
      isolated: Whether its KV cache is shared with no other workspace.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    isolated: bool = False


@attrs.frozen
class SiteConfiguration:
    """A whole configuration.

    Attributes:
      version: Number that the operator gave it; the highest is in force.
      routes: All routes.
      services: All services by name.
      workspaces: All workspaces; None if callers need no key.
      limits: Bounds of what callers may send.
      stores: Stores of kept KV cache.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...] | None
    limits: callers.CallerLimits
    stores: tuple[Store, ...] = ()


@attrs.frozen
class Weights:
    """A version of a model's weights."""

    model: str
    version: int


@attrs.frozen
class Target:
    """A target as the platform lists it.

    Attributes:
      id: Identity; new at most starts.
      born_ms: Unix time of its start, in ms; 0 if unknown. Tells two starts
        under one id apart.
      service: Name of its service.
      address: Where it listens.
      data_centre: Data centre of its VM.
      slots: Requests that it runs at once.
      leaving: Whether it takes no new work.
      cold_s: Time for which it is slow after its start.
      weights: Versions of the weights that it holds.
      swapping: Whether it is being ordered to load other weights.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of one start of this target."""
        return self.id, self.born_ms


class InvalidConfigurationError(Exception):
    """Raised when a configuration is refused; says why."""
