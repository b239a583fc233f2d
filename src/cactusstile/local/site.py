"""Runs a complete site in one process and event loop: `cactusstile local`."""

from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import secrets
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.agent import daemon as agent_daemon
from cactusstile.agent import wiring as agent_wiring
from cactusstile.consensus import replica_settings
from cactusstile.control import client
from cactusstile.control import daemon as control_daemon
from cactusstile.control import settings as control_settings
from cactusstile.entry import daemon as entry_daemon
from cactusstile.entry import routes
from cactusstile.entry import wiring as entry_wiring
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import service
from cactusstile.fakes import serving
from cactusstile.settings import agent as agent_settings
from cactusstile.settings import entry as entry_settings
from cactusstile.settings import process
from cactusstile.state import model
from cactusstile.store import block_store
from cactusstile.store import daemon as store_daemon
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

FindFleet: typing.TypeAlias = collections.abc.Callable[[], model.Fleet]
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
STORE_MEMORY_BYTES = 64 * 1024 * 1024
STORE_DISK_BYTES = 256 * 1024 * 1024
_ANY_PORT = 0
_SECRET_BYTES = 24


def _dial_tcp_from(_: str) -> pool.Dial:
    return pool.dial_tcp


@attrs.frozen
class LocalSettings:
    """Settings of a local site.

    Attributes:
      fleet: Fleet to apply; agents listen at the addresses that it declares.
      data_folder: Folder of all durable state.
      callers_listen: Address for callers.
      admin_listen: Address of the entry's metrics and state dump.
      control_host: IP address on which the control processes listen.
      control_ports: Ports of the control processes, one for each replica.
      engine: Settings of the fake engines.
      dial_from: Returns, for a data centre, the function with which its agents
        open byte streams to other processes.
      build_routes: Builds the entry's routing from a function that returns the
        fleet in force; None for the default routing.
    """

    fleet: model.Fleet
    data_folder: pathlib.Path
    callers_listen: address.Address
    admin_listen: address.Address
    control_host: str = "127.0.0.1"
    control_ports: tuple[int, ...] = (7301, 7302, 7303)
    engine: engine.EngineSettings = attrs.field(factory=engine.EngineSettings)
    dial_from: collections.abc.Callable[[str], pool.Dial] = _dial_tcp_from
    build_routes: (
        collections.abc.Callable[[FindFleet], routes.Routes] | None
    ) = None


@attrs.define
class LocalSite:
    """A running local site.

    Attributes:
      entry: Entry of the site.
      agents: Agents of engines and services by target.
      engines: Fake engines by target.
      services: Fake plain services by target.
      stores: Stores by target.
      store_scopes: Cancel scopes of the stores by target; cancelling a scope
        kills its store.
    """

    entry: entry_daemon.Entry
    agents: dict[str, agent_daemon.Agent] = attrs.field(factory=dict)
    engines: dict[str, engine.Engine] = attrs.field(factory=dict)
    services: dict[str, service.Service] = attrs.field(factory=dict)
    stores: dict[str, store_daemon.Store] = attrs.field(factory=dict)
    store_scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)


@attrs.frozen
class _SiteOpener:
    """Starts the processes of a site on one exit stack."""

    settings: LocalSettings
    stack: contextlib.AsyncExitStack
    secrets: handshake.Secrets
    group: anyio.abc.TaskGroup
    stopping: anyio.Event

    def process_settings(
        self, name: str, data_centre: str, listen: address.Address
    ) -> process.ProcessSettings:
        return process.ProcessSettings(
            name,
            data_centre,
            listen,
            address.Address(listen.host, _ANY_PORT),
            self.control_addresses(),
            self.secrets,
        )

    def control_addresses(self) -> tuple[address.Address, ...]:
        host = self.settings.control_host
        return tuple(
            address.Address(host, port) for port in self.settings.control_ports
        )

    async def open_control(self) -> None:
        addresses = self.control_addresses()
        founders = tuple(
            replica_settings.Founder(f"control-{number}", str(listen))
            for number, listen in enumerate(addresses, 1)
        )
        for founder, listen in zip(founders, addresses, strict=True):
            folder = self.settings.data_folder / founder.name
            settings = control_settings.ControlSettings(
                self.process_settings(founder.name, "local", listen),
                folder,
                founders,
                listen,
            )
            await self.stack.enter_async_context(
                control_daemon.open_control(settings)
            )

    async def apply(self) -> None:
        operator = handshake.Identity("operator", "local")
        async with pool.open_pool(operator, self.secrets) as peers:
            control = client.ControlClient(peers, self.control_addresses())
            in_force = await control.read_fleet(timeout_s=READY_TIMEOUT_S)
            if in_force.revision < self.settings.fleet.revision:
                await control.apply(
                    in_force, self.settings.fleet, timeout_s=READY_TIMEOUT_S
                )

    async def open_entry(self) -> entry_daemon.Entry:
        listen = address.Address(self.settings.control_host, _ANY_PORT)
        common = self.process_settings("entry-1", "local", listen)
        defaults = {
            option.name: option.default for option in entry_settings.OPTIONS
        }
        # A local site has no load balancer that needs time to react.
        settings = entry_settings.EntrySettings(
            attrs.evolve(common, admin_listen=self.settings.admin_listen),
            **{
                **defaults,
                "callers_listen": self.settings.callers_listen,
                "drain_delay_s": 0.0,
            },
        )
        parts = await self.stack.enter_async_context(
            entry_wiring.open_parts(settings)
        )
        if self.settings.build_routes is not None:
            routing = self.settings.build_routes(lambda: parts.fleet.fleet)
            parts = attrs.evolve(parts, routing=routing)
        return await self.stack.enter_async_context(
            entry_daemon.open_entry(settings, parts)
        )

    async def open_target(self, site: LocalSite, target: model.Target) -> None:
        common = self.process_settings(
            target.name, target.data_centre, target.agent
        )
        if target.kind is model.TargetKind.STORE:
            folder = self.settings.data_folder / target.name
            bounds = block_store.Bounds(STORE_MEMORY_BYTES, STORE_DISK_BYTES)
            settings = store_daemon.Settings(
                target.name, target.agent, self.secrets, folder, bounds
            )
            scope = site.store_scopes[target.name] = anyio.CancelScope()
            site.stores[target.name] = await self.group.start(
                _serve_store, settings, scope, self.stopping
            )
            return
        app = await self._open_fake_target(site, target)
        bound = await self.stack.enter_async_context(serving.open_app(app))
        agent = agent_settings.AgentSettings(
            common, target.kind.value, target.name, f"http://{bound}"
        )
        site.agents[target.name] = await self.stack.enter_async_context(
            agent_wiring.open_process(
                agent, self.settings.dial_from(target.data_centre)
            )
        )

    async def _open_fake_target(
        self, site: LocalSite, target: model.Target
    ) -> typing.Any:
        if target.kind is model.TargetKind.SERVICE:
            fake_service = service.Service()
            site.services[target.name] = fake_service
            return service.build_app(fake_service)
        deployment = self.settings.fleet.deployments[target.serves]
        engine_settings = attrs.evolve(
            self.settings.engine,
            model=deployment.model,
            version=deployment.version,
            checks_fence=target.checks_fence,
        )
        fake_engine = engine.Engine(engine_settings)
        await self.stack.enter_async_context(fake_engine.run())
        site.engines[target.name] = fake_engine
        return engine_app.build_app(fake_engine)


@contextlib.asynccontextmanager
async def open_site(
    settings: LocalSettings,
) -> collections.abc.AsyncIterator[LocalSite]:
    """Runs a site until the context is left; yields it once it is ready.

    Raises:
      OSError: If an address cannot be bound.
      TimeoutError: If the site is not ready within `READY_TIMEOUT_S`.
    """
    site_secrets = handshake.Secrets(
        secrets.token_bytes(_SECRET_BYTES), secrets.token_bytes(_SECRET_BYTES)
    )
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stopping = anyio.Event()
        stack.callback(stopping.set)
        opener = _SiteOpener(settings, stack, site_secrets, group, stopping)
        await opener.open_control()
        await opener.apply()
        site = LocalSite(await opener.open_entry())
        for target in settings.fleet.targets.values():
            await opener.open_target(site, target)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not is_ready(site):  # noqa: ASYNC110
                await anyio.sleep(READY_POLL_S)
        yield site


async def _serve_store(
    settings: store_daemon.Settings,
    scope: anyio.CancelScope,
    stopping: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[store_daemon.Store],
) -> None:
    """Runs a store until the site stops or `scope` is cancelled."""
    with scope:
        async with store_daemon.open_store(settings) as store:
            task_status.started(store)
            await stopping.wait()


def is_ready(site: LocalSite) -> bool:
    """Returns whether the entry and all agents are ready."""
    agents_ready = all(agent.ready() for agent in site.agents.values())
    return site.entry.readiness.is_ready() and agents_ready
