"""A small site in one process: fake targets, each with a real agent."""

from __future__ import annotations

import contextlib
import pathlib
import typing

import anyio
import attrs

from cactusstile.agent import daemon
from cactusstile.agent import links as agent_links
from cactusstile.fakes import control
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import service
from cactusstile.fakes import serving
from cactusstile.settings import agent as agent_settings
from cactusstile.settings import process
from cactusstile.state import holder
from cactusstile.state import model
from cactusstile.store import block_store
from cactusstile.store import daemon as store_daemon
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

SECRETS = handshake.Secrets(b"fleet-secret-of-fakes", b"operator-secret-fakes")
READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.01
STORE_BYTES = 64 * 1024 * 1024
DEPLOYMENT = "chat"
SERVICE = "inventory"
DATA_CENTRE = "ikeja"


@attrs.define
class Site:
    """The agents of a site and their shared state.

    Attributes:
      control: Fake control client.
      fleet_holder: Configuration shared by all agents.
      peers: Connections to the agents, opened with the identity of an entry.
      agents: Running agents by name of the target.
      engines: Fake engines by name of the target.
      services: Fake services by name of the target.
      stores: Stores by name of the target.
    """

    control: control.MemoryControl
    fleet_holder: holder.FleetHolder
    peers: pool.Pool
    agents: dict[str, daemon.Agent] = attrs.field(factory=dict)
    engines: dict[str, engine.Engine] = attrs.field(factory=dict)
    services: dict[str, service.Service] = attrs.field(factory=dict)
    stores: dict[str, store_daemon.Store] = attrs.field(factory=dict)

    def apply(self, **changes: typing.Any) -> None:
        """Activates the next revision of the fleet, with `changes` applied."""
        fleet = self.fleet_holder.fleet
        changed = attrs.evolve(fleet, revision=fleet.revision + 1, **changes)
        self.fleet_holder.advance(changed)

    def set_version(self, version: str) -> None:
        """Declares a new weight version of the deployment."""
        deployments = dict(self.fleet_holder.fleet.deployments)
        deployments[DEPLOYMENT] = attrs.evolve(
            deployments[DEPLOYMENT], version=version
        )
        self.apply(deployments=deployments)

    async def call(
        self, target: str, message: object, timeout_s: float = 10.0
    ) -> object:
        """Calls the agent of a target and returns the final answer."""
        bound = self.agents[target].bound
        return await self.peers.call(bound, message, timeout_s=timeout_s)


def build_fleet(
    workspaces: collections.abc.Iterable[str] = ("bank", "clinic"),
) -> model.Fleet:
    """Returns a fleet without targets."""
    return model.Fleet(
        name="fakes",
        revision=1,
        workspaces={name: model.Workspace(name, ()) for name in workspaces},
        deployments={
            DEPLOYMENT: model.Deployment(DEPLOYMENT, "model", "v1"),
        },
        services={SERVICE: model.Service(SERVICE)},
    )


@contextlib.asynccontextmanager
async def open_site(
    fleet: model.Fleet | None = None,
) -> collections.abc.AsyncIterator[Site]:
    """Opens a site without agents."""
    identity = handshake.Identity("entry", "fake-entry")
    async with pool.open_pool(identity, SECRETS) as peers:
        fleet_holder = holder.FleetHolder(fleet or build_fleet())
        fleet_holder.confirmed.set()
        yield Site(control.MemoryControl(), fleet_holder, peers)


@contextlib.asynccontextmanager
async def open_engine_agent(
    site: Site,
    name: str = "engine-1",
    settings: engine.EngineSettings | None = None,
    **options: typing.Any,
) -> collections.abc.AsyncIterator[daemon.Agent]:
    """Adds a fake engine and its agent; yields once the agent is ready.

    Args:
      site: Site to add to.
      name: Name of the target.
      settings: Behaviour of the engine.
      options: Additional fields of `settings.agent.AgentSettings`.
    """
    served = engine.Engine(settings)
    async with (
        served.run(),
        serving.open_app(engine_app.build_app(served)) as bound,
    ):
        site.engines[name] = served
        url = f"http://{bound}"
        async with open_agent(site, name, "engine", url, **options) as running:
            yield running


@contextlib.asynccontextmanager
async def open_service_agent(
    site: Site, name: str = "service-1", **options: typing.Any
) -> collections.abc.AsyncIterator[daemon.Agent]:
    """Adds a fake service and its agent."""
    served = service.Service()
    async with serving.open_app(service.build_app(served)) as bound:
        site.services[name] = served
        url = f"http://{bound}"
        async with open_agent(site, name, "service", url, **options) as running:
            yield running


@contextlib.asynccontextmanager
async def open_store(
    site: Site, name: str = "store-1", data_centre: str = DATA_CENTRE
) -> collections.abc.AsyncIterator[store_daemon.Store]:
    """Adds a store with a memory tier only."""
    settings = store_daemon.Settings(
        name,
        address.Address("127.0.0.1", 0),
        SECRETS,
        pathlib.Path(),
        block_store.Bounds(STORE_BYTES, 0),
    )
    async with store_daemon.open_store(settings) as opened:
        site.stores[name] = opened
        targets = dict(site.fleet_holder.fleet.targets)
        targets[name] = model.Target(
            name, model.TargetKind.STORE, opened.bound, data_centre
        )
        site.apply(targets=targets)
        yield opened


@contextlib.asynccontextmanager
async def open_agent(
    site: Site, name: str, kind: str, url: str, **options: typing.Any
) -> collections.abc.AsyncIterator[daemon.Agent]:
    """Adds the agent of the target at `url`; yields once it is ready."""
    settings = agent_settings.AgentSettings(
        process.ProcessSettings(
            name,
            DATA_CENTRE,
            address.Address("127.0.0.1", 0),
            address.Address("127.0.0.1", 0),
            (),
            SECRETS,
        ),
        kind,
        name,
        url,
        **options,
    )
    links = agent_links.Links(site.control, site.peers, site.fleet_holder)
    async with daemon.open_agent(settings, links) as running:
        site.agents[name] = running
        _declare_target(site, name, kind, running.bound)
        await wait_ready(site, name)
        yield running


async def wait_ready(site: Site, name: str) -> None:
    """Waits until an agent is ready.

    Raises:
      TimeoutError: If the agent is not ready within `READY_TIMEOUT_S`.
    """
    with anyio.fail_after(READY_TIMEOUT_S):
        while not site.agents[name].ready():  # noqa: ASYNC110
            await anyio.sleep(READY_POLL_S)


def _declare_target(
    site: Site, name: str, kind: str, bound: address.Address
) -> None:
    serves = DEPLOYMENT if kind == "engine" else SERVICE
    targets = dict(site.fleet_holder.fleet.targets)
    targets[name] = model.Target(
        name, model.TargetKind(kind), bound, DATA_CENTRE, serves
    )
    site.apply(targets=targets)
