from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import anyio.abc
import attrs
from tests.support import raw_target
from tests.support import resetting_target
from tests.support import stalled_target

if typing.TYPE_CHECKING:
    import collections.abc

from cactusstile.gateway import budget
from cactusstile.gateway import daemon
from cactusstile.gateway import forwarding
from cactusstile.gateway import records
from cactusstile.gateway import site_view
from cactusstile.gateway.peers import datagram_exchange
from cactusstile.gateway.peers import load_sharing
from cactusstile.gateway.peers import sharers
from cactusstile.http import callers
from cactusstile.http import request_limits
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.http import targets
from cactusstile.sites import ages
from cactusstile.sites import builds
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

SECRET = b"s" * 16
MAX_REQUESTS = 100


def route(
    kind: model.Kind = model.Kind.IDEMPOTENT, **rest: object
) -> model.Route:
    values: dict[str, object] = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "shares": (model.Share("plain", 1.0),),
        "timeout_s": 2.0,
        "max_attempts": 2,
    }
    return model.Route(kind=kind, **{**values, **rest})  # type: ignore[arg-type]


def configuration(
    *routes: model.Route,
    version: int = 1,
    workspaces: tuple[model.Workspace, ...] | None = None,
    limits: request_limits.CallerLimits | None = None,
) -> model.SiteConfiguration:
    services = {"plain": model.Service("plain")}
    return model.SiteConfiguration(
        version,
        routes,
        services,
        workspaces,
        limits or request_limits.CallerLimits(),
    )


@attrs.define
class GatewayHarness:
    """The request path of a gateway over real sockets.

    Attributes:
      site: Local view of the site.
      serving: State of the listener.
      listen_address: Address of the listener.
      pool: Connections to targets.
      budget: Retry budget.
      forwarder: Forwards the requests.
      records: Records of the completed requests.
    """

    site: site_view.SiteView
    serving: servings.Serving
    listen_address: address.Address
    pool: targets.Pool
    budget: budget.RetryBudget
    forwarder: forwarding.Forwarder
    records: list[records.RequestRecord] = attrs.field(factory=list)

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp(
            self.listen_address.host, self.listen_address.port
        )

    async def ask(self, request: bytes) -> bytes:
        """Sends one request and returns all bytes until the close."""
        async with await self.connect() as stream:
            await stream.send(request)
            return await read_to_end(stream)


async def read_to_end(stream: anyio.abc.SocketStream) -> bytes:
    data = b""
    with anyio.fail_after(5):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                data += await stream.receive()
    return data


def request(
    method: bytes = b"GET", rest: bytes = b"", body: bytes = b""
) -> bytes:
    """Returns the bytes of a request that closes its connection."""
    head = method + b" /a/x?q=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    head += b"X-Cactusstile-Attempt-Id: one\r\n" + rest
    if body:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def status(data: bytes) -> int:
    return int(data.split(b" ", 2)[1])


def settle(known: sharers.Sharers, count: int, now_s: float) -> None:
    """Lets control confirm a number of gateways until they are settled."""
    steps = int(known.window_s * sharers.SETTLING_WINDOWS)
    for step in range(steps + 1):
        known.confirm(count, now_s - steps + step)


def tell_builds(site: site_view.SiteView, age_s: float) -> None:
    """Lets control tell for how long the listed builds have been listed."""
    told = tuple(
        builds.AgedBuilds(service, tuple(sorted(found)), ages.to_ms(age_s))
        for service, found in builds.by_service(site.listed).items()
    )
    site.builds.apply(builds.BuildsInForce(told), anyio.current_time())
    site.builds.confirm(float("inf"))


@contextlib.asynccontextmanager
async def open_harness(
    site_configuration: model.SiteConfiguration | None,
    *open_targets: raw_target.RawTarget
    | resetting_target.ResettingTarget
    | stalled_target.StalledTarget,
    ratio: float = 1.0,
    slack: float = 10.0,
    weights_s: float = 8.0,
    builds_known: bool = True,
) -> collections.abc.AsyncIterator[GatewayHarness]:
    site = site_view.SiteView()
    if site_configuration is not None:
        site.replace_configuration(site_configuration)
    listed = tuple(opened.target for opened in open_targets)
    site.replace_targets(listed, anyio.current_time())
    if builds_known:
        tell_builds(site, float("inf"))
    pool = targets.Pool()
    retry_budget = budget.RetryBudget(ratio, 10.0, slack)
    settle(retry_budget.sharers, 1, anyio.current_time())
    ended: list[records.RequestRecord] = []
    forwarder = forwarding.Forwarder(
        site, pool, retry_budget, ended.append, weights_s
    )
    serving = servings.Serving(
        forwarder.handle,
        site.caller_limits,
        request_limits.MemoryLimit(1 << 20),
    )
    listener = sockets.listen(address.Address("127.0.0.1", 0))
    listen_address = address.Address(*listener.getsockname())
    async with anyio.create_task_group() as group:
        group.start_soon(callers.serve_listener, listener, serving, group)
        yield GatewayHarness(
            site, serving, listen_address, pool, retry_budget, forwarder, ended
        )
        group.cancel_scope.cancel()
    listener.close()
    pool.close()


@contextlib.asynccontextmanager
async def open_targets(
    count: int,
    make_script: collections.abc.Callable[
        [raw_target.RawTarget], raw_target.Script
    ],
) -> collections.abc.AsyncIterator[list[raw_target.RawTarget]]:
    """Opens targets t-0, t-1, ... that run the same script each time."""
    async with contextlib.AsyncExitStack() as stack:
        opened = []
        for number in range(count):
            target = await stack.enter_async_context(
                raw_target.open_target(id=f"t-{number}")
            )
            target.scripts += [make_script(target)] * MAX_REQUESTS
            opened.append(target)
        yield opened


def find_free_address() -> address.Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return address.Address(*probe.getsockname())


@contextlib.asynccontextmanager
async def open_gateways(
    count: int,
    site_configuration: model.SiteConfiguration,
    open_targets: list[raw_target.RawTarget],
) -> collections.abc.AsyncIterator[list[GatewayHarness]]:
    """Opens gateways that exchange datagrams."""
    addresses = [find_free_address() for _ in range(count)]
    members = tuple(
        messages.GatewayMember(str(own), "d", 100.0) for own in addresses
    )
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        opened = []
        for own, member in zip(addresses, members, strict=True):
            harness = await stack.enter_async_context(
                open_harness(site_configuration, *open_targets, slack=100.0)
            )
            harness.site.gateways = members
            sharing = load_sharing.LoadSharing(harness.site, member)
            exchange = datagram_exchange.DatagramExchange(sharing, own, SECRET)
            daemon.connect_exchange(harness.forwarder, exchange)
            group.start_soon(exchange.run)
            group.start_soon(harness.forwarder.quarantine.run)
            opened.append(harness)
        await anyio.sleep(0.05)
        yield opened
