"""Data model of the fleet that operators declare."""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import address


class TargetKind(enum.Enum):
    """Kind of the target that an agent manages."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


@attrs.frozen
class Workspace:
    """A customer's workspace.

    Attributes:
      name: Name of the workspace.
      key_hashes: Salted hashes of the callers' keys.
      share: Weight in fair queues; a larger share receives more work.
      max_running: Maximum number of requests in flight per entry.
    """

    name: str
    key_hashes: tuple[str, ...]
    share: float = 1.0
    max_running: int = 256


@attrs.frozen
class Deployment:
    """A model deployment.

    Attributes:
      name: Model name that callers use in requests.
      model: Name of the model on the engines.
      version: Desired weight version.
      adapters: Adapters as "name@version".
      workspaces: Workspaces that may use it; empty allows all.
      first_token_weight: Weight of the time to first token in routing costs.
      recompute_weight: Weight of recomputed prompt work in routing costs.
      link_weight: Weight of link use in routing costs.
      max_concurrent_loads: Maximum number of targets that load weights at the
        same time.
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
      name: Name that callers use in requests.
      workspaces: Workspaces that may use it; empty allows all.
      repeatable_methods: HTTP methods that may be retried unless the caller
        specifies otherwise.
      timeout_s: Timeout of a call in seconds.
    """

    name: str
    workspaces: tuple[str, ...] = ()
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: float = 30.0


@attrs.frozen
class Target:
    """A model engine, plain service or store VM, and the agent that manages it.

    Attributes:
      name: Name of the target.
      kind: Engine, service or store.
      agent: Address of the agent.
      data_centre: Data centre of the target's VM.
      serves: Name of the deployment or service that the target serves; empty
        for a store.
      checks_fence: Whether the engine itself rejects orders with an outdated
        fencing token.
      role: Desired role of the engine; empty if the engine keeps its own.
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
      data_centres: The two connected data centres in alphabetical order.
      bytes_per_s: Bandwidth available for transfers of stored blocks.
      price: Cost of a transferred gigabyte, in a unit chosen by the operators.
    """

    data_centres: tuple[str, str]
    bytes_per_s: float
    price: float = 0.0


@attrs.frozen
class Fleet:
    """A complete configuration, which is always changed as a unit.

    Attributes:
      name: Name of the site.
      revision: Number that the operators assign to this configuration; 0 if
        none has been applied.
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

    def link(
        self, first_data_centre: str, second_data_centre: str
    ) -> Link | None:
        """Returns the limited link between two data centres; None if none."""
        low, high = sorted((first_data_centre, second_data_centre))
        return self.links.get((low, high))

    def targets_of(self, serves: str) -> list[Target]:
        """Returns the targets that serve a deployment or service."""
        return [
            target
            for target in self.targets.values()
            if target.serves == serves and target.kind is not TargetKind.STORE
        ]

    def stores(self) -> list[Target]:
        """Returns the store targets."""
        return [
            target
            for target in self.targets.values()
            if target.kind is TargetKind.STORE
        ]
