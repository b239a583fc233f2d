"""The entry role as an async context manager."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import typing

import anyio
import attrs

from cactusstile import guards
from cactusstile import tokens
from cactusstile.entry import application
from cactusstile.entry import completions
from cactusstile.entry import dispatch
from cactusstile.entry import home_routes
from cactusstile.entry import routes
from cactusstile.filters import body
from cactusstile.filters import earlier_attempts
from cactusstile.filters import final_refusals
from cactusstile.filters import limit
from cactusstile.limits import confinement
from cactusstile.limits import connections
from cactusstile.limits import retry_budget
from cactusstile.observability import admin
from cactusstile.observability import entry_metrics
from cactusstile.observability import http_listener
from cactusstile.observability import limited_protocol
from cactusstile.observability import tls

if typing.TYPE_CHECKING:
    import starlette.routing

    from cactusstile.entry import routes
    from cactusstile.settings import entry as entry_settings
    from cactusstile.state import holder
    from cactusstile.transport import address
    from cactusstile.transport import pool

logger = logging.getLogger(__name__)


@attrs.frozen
class Parts:
    """Dependencies of an entry, provided by the process that runs it.

    Attributes:
      fleet: The configuration in force; the process updates it.
      peers: Connections to the agents.
      find_workspace: Returns the name of the workspace that owns a key.
      routing: Selects the targets of requests; None for `home_routes`.
      tokenize: Converts the text of a prompt to tokens.
      close_key: See `filters.earlier_attempts.check_earlier_attempts`.
      allocate_epoch: Returns a new epoch for a workspace's key, larger than
        all epochs that were allocated or used to close a key before.
      read_revision: See `filters.final_refusals.confirm_refusals`; None if
        `fleet` is always the newest.
    """

    fleet: holder.FleetHolder
    peers: pool.Pool
    find_workspace: collections.abc.Callable[[str], str | None]
    routing: routes.Routes | None = None
    tokenize: collections.abc.Callable[[str], list[int]] = tokens.byte_tokenizer
    close_key: earlier_attempts.CloseKey = earlier_attempts.close_no_key
    allocate_epoch: earlier_attempts.AllocateEpoch = (
        earlier_attempts.allocate_no_epoch
    )
    read_revision: final_refusals.ReadRevision | None = None


@attrs.frozen
class EntryState:
    """State of an entry in its debug dump.

    Attributes:
      name: Name of the process.
      revision: Revision of the configuration in force at this entry.
      ready: Whether the entry is ready for new callers.
      draining: Whether the entry is shutting down gracefully.
      connections: Number of open caller connections.
      in_flight: Requests in flight by workspace.
      running: Requests sent to agents by target.
      confined: Pairs of a deployment and a workspace whose load far exceeds
        that of the others, and which is confined to a subset of the targets.
      wait_ms: Smoothed wait at targets in milliseconds by deployment.
      body_bytes: Bytes of request bodies in memory.
      retry_balance: Retries that the retry budget currently allows.
      busy_share: Fraction of one core that the process uses.
    """

    name: str
    revision: int
    ready: bool
    draining: bool
    connections: int
    in_flight: dict[str, int]
    running: dict[str, int]
    confined: list[tuple[str, str]]
    wait_ms: dict[str, float]
    body_bytes: int
    retry_balance: float
    busy_share: float


@attrs.define
class Entry:
    """A running entry.

    Attributes:
      settings: Settings of the entry.
      readiness: Whether the entry is ready for callers.
      dispatcher: Dispatches requests to agents.
      bounds: Bounds and counters of the filter chain.
      storm_confinement: Decides which workspaces are confined.
      metrics: Metrics of the entry.
      listener: Listener for callers.
      admin: Listener for operators.
    """

    settings: entry_settings.EntrySettings
    readiness: application.Readiness
    dispatcher: dispatch.Dispatcher
    bounds: application.Bounds
    storm_confinement: confinement.Confinement
    metrics: entry_metrics.EntryMetrics
    listener: http_listener.HttpListener = attrs.field(init=False)
    admin: http_listener.HttpListener = attrs.field(init=False)

    def callers_address(self) -> address.Address:
        """Returns the address of the listener for callers."""
        return self.listener.bound

    async def drain(self) -> None:
        """Shuts down gracefully without interrupting requests in flight.

        Readiness is withdrawn immediately. During `drain_delay_s` the load
        balancer detects this while new requests are still served, each on a
        connection that closes afterwards. Then the listener accepts no more
        connections, and the requests in flight finish.
        """
        if self.readiness.draining:
            return
        self.readiness.draining = True
        self.listener.closing = True
        logger.info("draining: the entry no longer reports itself as ready")
        await anyio.sleep(self.settings.drain_delay_s)
        await self.listener.drain()
        logger.info("drained: all requests have finished")


@contextlib.asynccontextmanager
async def open_entry(
    settings: entry_settings.EntrySettings, parts: Parts
) -> collections.abc.AsyncIterator[Entry]:
    """Runs an entry until the context exits.

    Raises:
      CannotListenError: If one of its addresses cannot be bound.
    """
    entry = _build(settings, parts)
    is_ready = entry.readiness.is_ready
    app = application.build(
        _completion_parts(entry, parts),
        parts.find_workspace,
        entry.readiness,
        entry.bounds,
        parts.close_key,
    )
    app.routes.extend(admin.health_routes(is_ready))

    def dump() -> EntryState:
        return _dump(entry, parts.fleet.fleet.revision)

    admin_app = admin.build([entry.metrics.registry], is_ready, dump)
    admin_listen = settings.process.admin_listen
    async with (
        _open_caller_listener(entry, app) as listener,
        http_listener.open_listener(admin_app, admin_listen) as admin_listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(entry.dispatcher.pacer.run)
        entry.listener = listener
        entry.admin = admin_listener
        logger.info("serving callers on %s", listener.bound)
        yield entry
        group.cancel_scope.cancel()


def _completion_parts(entry: Entry, parts: Parts) -> completions.Parts:
    return completions.Parts(
        parts.fleet,
        entry.dispatcher,
        parts.tokenize,
        entry.metrics,
        parts.read_revision,
    )


@contextlib.asynccontextmanager
async def _open_caller_listener(
    entry: Entry, app: starlette.routing.Router
) -> collections.abc.AsyncIterator[http_listener.HttpListener]:
    """Opens the listener for callers, with TLS if it is configured."""
    listen = entry.settings.callers_listen
    files = entry.settings.tls_files
    limits = limited_protocol.Limits(
        connections.Connections(
            entry.settings.max_connections,
            connections.CALLER_DESCRIPTOR_FRACTION,
        )
    )
    if files is None:
        async with http_listener.open_listener(
            app, listen, limits=limits
        ) as listener:
            yield listener
        return
    certificate = tls.ReloadingCertificate(
        files, entry.metrics.count_certificate
    )
    async with (
        http_listener.open_listener(
            app, listen, certificate.context, limits
        ) as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(guards.keep_running, "certificate", certificate.run)
        yield listener
        group.cancel_scope.cancel()


def _build(settings: entry_settings.EntrySettings, parts: Parts) -> Entry:
    metrics = entry_metrics.build()
    storm_confinement = confinement.Confinement(
        anyio.current_time, settings.storm_factor
    )
    dispatcher = dispatch.Dispatcher(
        parts.peers,
        parts.fleet,
        parts.routing
        or home_routes.build(
            lambda: parts.fleet.fleet,
            peers=parts.peers,
            storm_confinement=storm_confinement,
            count_confined=metrics.confined.inc,
        ),
        retry_budget.RetryBudget(settings.retry_share),
        metrics,
        allocate_epoch=parts.allocate_epoch,
    )
    bounds = application.Bounds(
        settings.max_body_bytes,
        body.BodyMemory(settings.max_buffered_bytes),
        limit.InFlight(settings.max_in_flight),
    )
    readiness = application.Readiness(parts.fleet.is_in_force)
    return Entry(
        settings, readiness, dispatcher, bounds, storm_confinement, metrics
    )


def _dump(entry: Entry, revision: int) -> EntryState:
    return EntryState(
        entry.settings.process.name,
        revision,
        entry.readiness.is_ready(),
        entry.readiness.draining,
        entry.listener.open_connections(),
        dict(entry.bounds.in_flight.by_workspace),
        dict(entry.dispatcher.running.by_target),
        sorted(entry.storm_confinement.confined),
        entry.storm_confinement.smoothed_waits_ms(),
        entry.bounds.memory.held_bytes,
        entry.dispatcher.budget.balance,
        entry.dispatcher.pacer.busy_share,
    )
