"""The fleet as operators declare it."""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import address


class TargetKind(enum.Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


@attrs.frozen
class Workspace:
    """A customer's workspace.

    Attributes:
      name: Name of the workspace.
      key_hashes: Salted hashes of the callers' keys.
      share: Weight in fair queues; larger gets more.
      max_running: Bound on requests in flight at one entry.
    """

    name: str
    key_hashes: tuple[str, ...]
    share: float = 1.0
    max_running: int = 256


@attrs.frozen
class Deployment:
    """A model deployment.

    Attributes:
      name: Name by which callers ask for it.
      model: Name of the model at the engines.
      version: Weight version that is to be in force.
      adapters: Adapters as "name@version".
      workspaces: Workspaces that may use it; empty admits all.
      first_token_weight: Weight of time to first token.
      recompute_weight: Weight of recomputed prompt work.
      link_weight: Weight of link use.
      max_concurrent_loads: Bound on targets that load weights at once.
    """

    name: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()
    first_token_weight: float = 1.0
    recompute_weight: float = 1.0
    link_weight: float = 1.0
    max_concurrent_loads: int = 1


@attrs.frozen
class Service:
    """A plain service.

    Attributes:
      name: Name by which callers ask for it.
      workspaces: Workspaces that may use it; empty admits all.
      repeatable_methods: HTTP methods that may be repeated unless the caller
        says otherwise.
      timeout_s: Bound on one call in seconds.
    """

    name: str
    workspaces: tuple[str, ...] = ()
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: float = 30.0


@attrs.frozen
class Target:
    """A back end and the agent beside it.

    Attributes:
      name: Name of the target.
      kind: Engine, service or store.
      agent: Address of the agent.
      data_centre: Data centre of the target's VM.
      serves: Deployment of an engine or service of a service; empty for a
        store.
      checks_fence: Whether the engine refuses orders with an old fencing
        number by itself.
      role: Role that the engine is to have; empty leaves its own.
    """

    name: str
    kind: TargetKind
    agent: address.Address
    data_centre: str
    serves: str = ""
    checks_fence: bool = False
    role: str = ""


@attrs.frozen
class Link:
    """A limited, paid link between two data centres.

    Attributes:
      data_centres: The two ends in alphabetical order.
      bytes_per_s: Bandwidth available to kept blocks.
      price: Cost of a transferred gigabyte, in the operators' unit.
    """

    data_centres: tuple[str, str]
    bytes_per_s: float
    price: float = 0.0


@attrs.frozen
class Fleet:
    """One whole configuration; the unit of change.

    Attributes:
      name: Name of the site.
      revision: The operators' number of this configuration; 0 before any.
      workspaces: Workspaces by name.
      deployments: Model deployments by name.
      services: Plain services by name.
      targets: Targets by name.
      links: Links by their sorted pair of data centres.
    """

    name: str = ""
    revision: int = 0
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    deployments: dict[str, Deployment] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    links: dict[tuple[str, str], Link] = attrs.field(factory=dict)

    def link(self, one: str, other: str) -> Link | None:
        """Returns the link between two data centres, if it is limited."""
        low, high = sorted((one, other))
        return self.links.get((low, high))

    def targets_of(self, serves: str) -> list[Target]:
        """Returns the targets that serve a deployment or service."""
        return [
            target
            for target in self.targets.values()
            if target.serves == serves and target.kind is not TargetKind.STORE
        ]

    def stores(self) -> list[Target]:
        """Returns the targets that keep blocks."""
        return [
            target
            for target in self.targets.values()
            if target.kind is TargetKind.STORE
        ]
