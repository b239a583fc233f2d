"""Assembles a gateway process: listeners, forwarding and background tasks."""

from __future__ import annotations

import contextlib
import functools
import logging
import typing

import anyio
import anyio.abc

from cactusstile import guards
from cactusstile.gateway import budget as budgets
from cactusstile.gateway import components
from cactusstile.gateway import control_watch
from cactusstile.gateway import dump
from cactusstile.gateway import forwarding
from cactusstile.gateway import lifecycle
from cactusstile.gateway import metrics as gateway_metrics
from cactusstile.gateway import records
from cactusstile.gateway import site_view
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import limit_sharing
from cactusstile.gateway.peers import load_sharing
from cactusstile.gateway.quarantine import hold_reports
from cactusstile.http import callers
from cactusstile.http import request_limits
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.http import targets
from cactusstile.limits import connections as caller_connections
from cactusstile.observability import plain_admin
from cactusstile.platform import client as clients
from cactusstile.routing import regions
from cactusstile.settings import node
from cactusstile.sites import discovery
from cactusstile.sites import limit_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.sites import quarantine_messages
from cactusstile.sites import stream_messages
from cactusstile.transport import handshake
from cactusstile.transport import pool as pools

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)
request_logger = logging.getLogger("cactusstile.requests")

ROLE = "gateway"
SWEEP_INTERVAL_S = 1.0
PLATFORM_POLL_INTERVAL_S = 1.0
# Fraction of the process's memory that request bodies may occupy.
BODY_MEMORY_FRACTION = 0.15
# Fraction that large answers may occupy; each is copied once while it is sent.
ANSWER_MEMORY_FRACTION = 0.1
# Fractions of the heads of requests, of answers that nobody takes, and of the
# connections themselves.
HEAD_MEMORY_FRACTION = 0.05
UNSENT_MEMORY_FRACTION = 0.15
# Room for the largest head, however little memory there is.
MIN_HEAD_BYTES = 2 << 20
CONNECTION_MEMORY_FRACTION = 0.2
# Memory of a connection with what it has read ahead.
CONNECTION_BYTES = 40 << 10
_BYTES_PER_MB = 1 << 20


@contextlib.asynccontextmanager
async def open_gateway(
    settings: node.NodeSettings,
) -> collections.abc.AsyncIterator[components.Gateway]:
    """Starts a gateway; leaving the context stops it.

    Raises:
      OSError: An address cannot be bound.
    """
    async with contextlib.AsyncExitStack() as stack:
        closers = stack.enter_context(contextlib.ExitStack())
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        connections = await stack.enter_async_context(
            pools.open_pool(
                handshake.Identity(ROLE, settings.name),
                handshake.Secrets(settings.secret.encode()),
            )
        )
        pool = targets.Pool()
        stack.callback(pool.close)
        request_metrics = gateway_metrics.GatewayMetrics()
        gateway = _assemble(settings, connections, pool, request_metrics)
        gateway.loop.show(request_metrics.registry)
        gateway.watch.held_up_s = gateway.loop.held_up_s
        gateway.site.view_age.last_pause_s = lambda: gateway.loop.check(
            anyio.current_time()
        )
        group.start_soon(guards.keep_running, "loop lag", gateway.loop.run)
        _start_background(gateway, pool, request_metrics, group)
        await _start_listeners(gateway, request_metrics, group, closers)
        yield gateway


def _assemble(
    settings: node.NodeSettings,
    connections: pools.Pool,
    pool: targets.Pool,
    request_metrics: gateway_metrics.GatewayMetrics,
) -> components.Gateway:
    site = site_view.SiteView(regions=regions.Regions(settings.regions))
    site.view_age.limit_s = settings.view_limit_s
    site.view_age.cut_off_s = settings.cut_off_s
    budget = _new_budget(settings)

    def record_request(finished: records.RequestRecord) -> None:
        request_metrics.count(finished)
        request_logger.info("request ended", extra=finished.fields())

    forwarder = forwarding.Forwarder(
        site, pool, budget, record_request, settings.weights_s
    )
    memory_bytes = settings.memory_mb * _BYTES_PER_MB
    forwarder.sender.answers.limit_bytes = int(
        memory_bytes * ANSWER_MEMORY_FRACTION
    )
    serving = _serve_callers(settings, forwarder.handle, site.caller_limits)
    watch = control_watch.ControlWatch(
        connections, site, settings.internal_seeds, _own_member(settings)
    )
    watch.confirm_sharers = budget.sharers.confirm
    watch.apply_holds = forwarder.quarantine.apply_holds
    return components.Gateway(
        settings,
        site,
        lifecycle.Lifecycle(site),
        serving,
        forwarder,
        watch,
    )


def _serve_callers(
    settings: node.NodeSettings,
    handle: servings.Handler,
    limits: collections.abc.Callable[[], request_limits.CallerLimits],
) -> servings.Serving:
    """Returns the state of callers' connections, bounded by the memory."""
    memory_bytes = settings.memory_mb * _BYTES_PER_MB

    def share(fraction: float, least: int = 0) -> request_limits.MemoryLimit:
        limit_bytes = int(memory_bytes * fraction)
        return request_limits.MemoryLimit(max(least, limit_bytes))

    most = share(CONNECTION_MEMORY_FRACTION).limit_bytes // CONNECTION_BYTES
    return servings.Serving(
        handle,
        limits,
        memory=share(BODY_MEMORY_FRACTION),
        heads=share(HEAD_MEMORY_FRACTION, MIN_HEAD_BYTES),
        unsent=share(UNSENT_MEMORY_FRACTION),
        skips_departed=True,
        open_connections=caller_connections.Connections(
            settings.max_connections or most,
            caller_connections.CALLER_DESCRIPTOR_FRACTION,
        ),
    )


def _new_budget(settings: node.NodeSettings) -> budgets.RetryBudget:
    has_predecessor = not settings.first_start
    return budgets.RetryBudget(
        settings.retry_ratio,
        settings.retry_window_s,
        settings.retry_slack,
        anyio.current_time() if has_predecessor else float("-inf"),
    )


def _own_member(settings: node.NodeSettings) -> messages.GatewayMember:
    return messages.GatewayMember(
        str(settings.internal_address),
        settings.data_centre,
        settings.link_mbps,
    )


def _start_polling(
    gateway: components.Gateway, pool: targets.Pool, group: anyio.abc.TaskGroup
) -> None:
    """Lets the platform be asked for its list while control sends none."""
    site = gateway.site

    def is_stale() -> bool:
        if site.listed_s is None:
            return site.confirmed_s is None
        return anyio.current_time() - site.listed_s > site_view.MAX_LIST_AGE_S

    def apply_listed(listed: tuple[model.Target, ...], asked_s: float) -> None:
        # Control may have sent a newer list before this one was read.
        if site.listed_s is not None and site.listed_s > asked_s:
            return
        gateway.watch.apply_targets(listed, "platform")
        site.listed_s = asked_s

    group.start_soon(
        guards.keep_running,
        "target list",
        discovery.run,
        clients.Client(pool),
        gateway.settings.platform,
        PLATFORM_POLL_INTERVAL_S,
        is_stale,
        apply_listed,
    )


def _start_background(
    gateway: components.Gateway,
    pool: targets.Pool,
    request_metrics: gateway_metrics.GatewayMetrics,
    group: anyio.abc.TaskGroup,
) -> None:
    site = gateway.site
    keep = guards.keep_running
    group.start_soon(keep, "control", gateway.watch.run)
    _start_polling(gateway, pool, group)
    group.start_soon(keep, "sweep", _sweep, pool, site, request_metrics)
    loads_exchange = datagram_exchange.DatagramExchange(
        load_sharing.LoadSharing(site, gateway.watch.member),
        gateway.settings.internal_address,
        gateway.settings.secret.encode(),
    )
    connect_exchange(gateway.forwarder, loads_exchange)
    group.start_soon(loads_exchange.run)
    quarantine = gateway.forwarder.quarantine
    group.start_soon(keep, "quarantine", quarantine.run)
    reports = hold_reports.HoldReports(
        quarantine, gateway.watch.pool, lambda: gateway.watch.leader
    )
    group.start_soon(keep, "holds", reports.run)


def connect_exchange(
    forwarder: forwarding.Forwarder,
    exchange: datagram_exchange.DatagramExchange,
) -> None:
    """Lets a forwarder tell other gateways what they should know."""
    forwarder.directory.send = exchange.send_soon
    forwarder.quarantine.send = exchange.send_soon
    limits = limit_sharing.LimitSharing(forwarder.site)
    limits.send = exchange.send_soon
    forwarder.sender.announce_limit = limits.tell
    forwarder.site.own_address = str(exchange.own_address)
    exchange.handlers = {
        limit_messages.TargetLimitNotice: limits.receive,
        stream_messages.BegunStreams: forwarder.directory.receive,
        stream_messages.FindStream: forwarder.directory.receive,
        quarantine_messages.EndEvidence: forwarder.quarantine.receive,
    }
    sender = forwarder.sender
    sender.announce_prompt = exchange.sharing.queue_prompt
    sender.announce_fetch = exchange.sharing.queue_fetch
    sender.announce_load = exchange.sharing.announce_load


async def _sweep(
    pool: targets.Pool,
    site: site_view.SiteView,
    request_metrics: gateway_metrics.GatewayMetrics,
) -> None:
    """Closes idle connections and updates the gauges, again and again."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        pool.sweep()
        request_metrics.site.show(site, anyio.current_time())


async def _start_listeners(
    gateway: components.Gateway,
    request_metrics: gateway_metrics.GatewayMetrics,
    group: anyio.abc.TaskGroup,
    closers: contextlib.ExitStack,
) -> None:
    """Binds all addresses, then serves.

    A stop while an address is awaited could not drain: callers come last, and
    none is served before.
    """
    settings = gateway.settings
    admin = plain_admin.build(
        request_metrics.registry, functools.partial(dump.describe, gateway)
    )
    served = [(settings.admin_address, callers.internal_serving(admin))]
    if settings.readiness is not None:
        answer = gateway.lifecycle.answer_readiness
        served.append((settings.readiness, callers.internal_serving(answer)))
    if settings.callers is not None:
        served.append((settings.callers, gateway.serving))
    listeners = []
    for listen_address, serving in served:
        place = settings.bind_address(listen_address)
        listener = await sockets.listen_when_free(place)
        closers.callback(listener.close)
        listeners.append((listener, serving))
    for listener, serving in listeners:
        group.start_soon(callers.serve_listener, listener, serving, group)
