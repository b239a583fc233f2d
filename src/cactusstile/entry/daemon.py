"""The entry role: a library function over an exit stack."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import typing

import anyio
import attrs

from cactusstile import tokens
from cactusstile.entry import application
from cactusstile.entry import completions
from cactusstile.entry import dispatch
from cactusstile.entry import homes
from cactusstile.entry import routes
from cactusstile.filters import body
from cactusstile.filters import earlier_attempts
from cactusstile.filters import limit
from cactusstile.limits import confinement
from cactusstile.limits import retry_budget
from cactusstile.observability import admin
from cactusstile.observability import entry_metrics
from cactusstile.observability import http_listener
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
    """What an entry is given by the process that runs it.

    Attributes:
      fleet: The configuration; kept up to date by the process.
      peers: Connections to the agents.
      find_workspace: Returns the name of the workspace that owns a key.
      routing: Decisions on where requests go; None for the homes of the prompt.
      tokenize: Turns a prompt's text into tokens.
      close_key: See `filters.earlier_attempts.cover_earlier_attempts`.
      draw_epoch: Returns an epoch for a workspace's key; it is larger than
        all that were drawn before, and than those of earlier closings.
    """

    fleet: holder.FleetHolder
    peers: pool.Pool
    find_workspace: collections.abc.Callable[[str], str | None]
    routing: routes.Routes | None = None
    tokenize: collections.abc.Callable[[str], list[int]] = tokens.byte_tokenizer
    close_key: earlier_attempts.CloseKey = earlier_attempts.close_nothing
    draw_epoch: earlier_attempts.DrawEpoch = earlier_attempts.draw_nothing


@attrs.frozen
class EntryState:
    """State of an entry for the dump.

    Attributes:
      name: Name of the process.
      revision: Configuration revision in force here.
      ready: Whether it is ready for new callers.
      draining: Whether it is about to stop.
      connections: Open callers' connections.
      in_flight: Requests in flight by workspace.
      running: Requests at agents by target.
      confined: Deployments and workspaces that storm and are confined to a
        part of the targets.
      wait_ms: Smoothed wait at targets by deployment.
      body_bytes: Bytes of request bodies held.
      retry_balance: Retries that may be sent now.
      busy_share: Share of one core that the process uses.
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
      settings: Its settings.
      gate: Whether it serves callers.
      dispatcher: Sends requests to agents.
      bounds: Bounds and counts of the filter chain.
      confining: Tells which workspaces are confined.
      metrics: Its metrics.
      listener: Listener for callers.
      admin: Listener for operators.
    """

    settings: entry_settings.EntrySettings
    gate: application.Gate
    dispatcher: dispatch.Dispatcher
    bounds: application.Bounds
    confining: confinement.Confinement
    metrics: entry_metrics.EntryMetrics
    listener: http_listener.HttpListener = attrs.field(init=False)
    admin: http_listener.HttpListener = attrs.field(init=False)

    def callers_address(self) -> address.Address:
        """Returns the address that callers reach."""
        return self.listener.bound

    async def drain(self) -> None:
        """Stops gracefully: no request in flight is cut off.

        Readiness ends at once; new requests are still served until the
        balancer had time to notice, each on a connection that closes after
        it. Then nothing is accepted, and the requests in flight finish.
        """
        if self.gate.draining:
            return
        self.gate.draining = True
        logger.info("draining; readiness is off")
        await anyio.sleep(self.settings.drain_delay_s)
        await self.listener.drain()
        logger.info("drained; all requests have finished")


@contextlib.asynccontextmanager
async def open_entry(
    settings: entry_settings.EntrySettings, parts: Parts
) -> collections.abc.AsyncIterator[Entry]:
    """Runs an entry until the context is left.

    Raises:
      CannotListenError: If one of its addresses cannot be bound.
    """
    entry = _build(settings, parts)
    is_ready = entry.gate.is_ready
    app = application.build(
        completions.Parts(
            parts.fleet, entry.dispatcher, parts.tokenize, entry.metrics
        ),
        parts.find_workspace,
        entry.gate,
        entry.bounds,
        parts.close_key,
    )
    app.routes.extend(admin.health_routes(is_ready))

    def dump() -> EntryState:
        return _dump(entry, parts.fleet.fleet.revision)

    admin_app = admin.build([entry.metrics.registry], is_ready, dump)
    admin_listen = settings.process.admin_listen
    async with (
        _open_callers(entry, app) as listener,
        http_listener.open_listener(admin_app, admin_listen) as admin_listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(entry.dispatcher.pacer.run)
        entry.listener = listener
        entry.admin = admin_listener
        logger.info("serving callers on %s", listener.bound)
        yield entry
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _open_callers(
    entry: Entry, app: starlette.routing.Router
) -> collections.abc.AsyncIterator[http_listener.HttpListener]:
    """Opens the callers' listener, with TLS if there is a certificate."""
    listen = entry.settings.callers_listen
    files = entry.settings.tls_files
    if files is None:
        async with http_listener.open_listener(app, listen) as listener:
            yield listener
        return
    certificate = tls.ReloadingCertificate(
        files, entry.metrics.count_certificate
    )
    async with (
        http_listener.open_listener(
            app, listen, certificate.context
        ) as listener,
        anyio.create_task_group() as group,
    ):
        group.start_soon(certificate.run)
        yield listener
        group.cancel_scope.cancel()


def _build(settings: entry_settings.EntrySettings, parts: Parts) -> Entry:
    metrics = entry_metrics.build()
    confining = confinement.Confinement(
        anyio.current_time, settings.storm_factor
    )
    dispatcher = dispatch.Dispatcher(
        parts.peers,
        parts.fleet,
        parts.routing
        or homes.build(
            lambda: parts.fleet.fleet,
            peers=parts.peers,
            confining=confining,
            count_confined=metrics.confined.inc,
        ),
        retry_budget.RetryBudget(settings.retry_share),
        metrics,
        draw_epoch=parts.draw_epoch,
    )
    bounds = application.Bounds(
        settings.max_body_bytes,
        body.BodyMemory(settings.max_buffered_bytes),
        limit.InFlight(settings.max_in_flight),
    )
    gate = application.Gate(parts.fleet.is_in_force)
    return Entry(settings, gate, dispatcher, bounds, confining, metrics)


def _dump(entry: Entry, revision: int) -> EntryState:
    return EntryState(
        entry.settings.process.name,
        revision,
        entry.gate.is_ready(),
        entry.gate.draining,
        entry.listener.open_connections(),
        dict(entry.bounds.in_flight.by_workspace),
        dict(entry.dispatcher.under_way.by_target),
        sorted(entry.confining.confined),
        entry.confining.waits(),
        entry.bounds.memory.held_bytes,
        entry.dispatcher.budget.balance,
        entry.dispatcher.pacer.busy_share,
    )
