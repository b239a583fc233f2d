"""Callers of the soak and the load balancer in front of the gateways."""

from __future__ import annotations

import collections.abc
import itertools
import random

import anyio
import attrs
from tests.soak import history as histories
from tests.soak import operators
from tests.soak import stand_ins
from tests.support import node_site

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.transport import address

MEAN_PAUSE_S = 0.08
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
MAX_FAILED_PROBES = 2
DEADLINE_S = 3.0
# Callers wait longer than they say, to read what is answered at the deadline.
PATIENCE_S = 3.5
# Fraction of requests that their callers abandon early.
ABANDONED_FRACTION = 0.06
TEMPORARY_KEY_FRACTION = 0.08
# Number of successive answers after which service counts as recovered.
RECOVERED_ANSWERS = 30
MAX_RESPONSE_BYTES = 1 << 20
SESSIONS = 12
# Successors of a route that was added of late, and of one that was dropped.
TURN_AGES = 6
TURNS_KNOWN = 14
# Half of them are not repeatable.
PATHS = ("/read/", "/moved/", "/talk/", "/write/", "/draft/", "/long/")
MAX_TOKENS_OUT = 40
LONG_TOKENS_OUT = (40, 80)


@attrs.define
class Balancer:
    """Load balancer that sends callers to ready gateways.

    Attributes:
      fronts: Addresses that callers connect to, by gateway.
      readiness: Addresses of the readiness probes, by gateway.
      failed_probes: Number of successive failed probes, by gateway.
    """

    fronts: dict[str, address.Address]
    readiness: dict[str, address.Address]
    failed_probes: dict[str, int] = attrs.field(factory=dict)

    async def probe(self, name: str) -> None:
        """Probes the readiness of one gateway until cancelled."""
        request = messages.Request(
            b"GET", b"/-/readyz", ((b"host", b"balancer"),)
        )
        while True:
            status = 0
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                status = await _probe_status(self.readiness[name], request)
            failed = self.failed_probes.get(name, MAX_FAILED_PROBES) + 1
            self.failed_probes[name] = 0 if status == 200 else failed
            await anyio.sleep(PROBE_INTERVAL_S)

    def pick(self, rng: random.Random) -> str:
        """Returns a random ready gateway; any gateway if none is ready."""
        usable = [
            name
            for name in self.fronts
            if self.failed_probes.get(name, MAX_FAILED_PROBES)
            < MAX_FAILED_PROBES
        ]
        return rng.choice(usable or list(self.fronts))


async def _probe_status(
    gateway_address: address.Address, request: messages.Request
) -> int:
    try:
        head, _ = await node_site.call(
            gateway_address, request, PROBE_TIMEOUT_S
        )
    except exceptions.HttpError:
        return 0
    return head.status


@attrs.define
class Caller:
    """A caller that reuses its connection while it is open.

    Attributes:
      name: Name of the caller, with which its request ids start.
      balancer: Picks its gateways.
      history: Records its requests.
      operators: Provide the newest configuration version.
      random: Draws its requests.
      answered_in_a_row: Number of successive answers to all callers since the
        last fault, as the only item.
      count: Number of requests that it sent.
      gateway: Gateway of the current connection.
      connection: Current connection; None if it is closed.
      stopped: Whether it sends no further requests.
      content: Content of all its requests, each at any gateway; empty if each
        has its own.
      mean_pause_s: Mean time between two requests.
      turns: Whether it asks for the routes that come and go alone.
    """

    name: str
    balancer: Balancer
    history: histories.History
    operators: operators.Operators
    random: random.Random
    answered_in_a_row: list[int]
    count: int = 0
    gateway: str = ""
    connection: targets.TargetConnection | None = None
    stopped: bool = False
    content: str = ""
    mean_pause_s: float = MEAN_PAUSE_S
    turns: bool = False

    async def run(self) -> None:
        """Sends requests until stopped."""
        try:
            while not self.stopped:
                await anyio.sleep(
                    self.random.expovariate(1 / self.mean_pause_s)
                )
                await self._send_request()
        finally:
            self._close_connection()

    async def run_without_waiting(
        self, may_ask: collections.abc.Callable[[], bool]
    ) -> None:
        """Sends requests until stopped, each on a connection of its own.

        Others wait for an answer before they ask again, so that a process that
        is stopped finds none of theirs that came late in its pause.
        """
        async with anyio.create_task_group() as group:
            for number in itertools.count():
                await anyio.sleep(
                    self.random.expovariate(1 / self.mean_pause_s)
                )
                if self.stopped:
                    return
                if may_ask():
                    one = attrs.evolve(self, name=f"{self.name}-{number}")
                    group.start_soon(one.run_once)

    async def run_once(self) -> None:
        """Sends one request."""
        try:
            await self._send_request()
        finally:
            self._close_connection()

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _send_request(self) -> None:
        if self.connection is None and not await self._connect():
            self.answered_in_a_row[0] = 0
            return
        call, request = self._draw_request()
        self.history.calls[call.id] = call
        timeout_s = PATIENCE_S
        is_abandoned = self.random.random() < ABANDONED_FRACTION
        if is_abandoned:
            timeout_s = self.random.uniform(0.01, 0.15)
        with anyio.move_on_after(timeout_s) as scope:
            await self._exchange(call, request)
        if scope.cancelled_caught:
            call.abandoned_s = anyio.current_time()
            self._close_connection()
        if is_abandoned or self.content:
            return
        if call.whole and call.status < 500:
            self.answered_in_a_row[0] += 1
        else:
            self.answered_in_a_row[0] = 0

    async def _connect(self) -> bool:
        self.gateway = self.balancer.pick(self.random)
        gateway_address = self.balancer.fronts[self.gateway]
        try:
            self.connection = await targets.Pool().take(
                gateway_address, CONNECT_TIMEOUT_S
            )
        except exceptions.UnreachableError:
            return False
        return True

    async def _exchange(
        self, call: histories.Call, request: messages.Request
    ) -> None:
        connection = self.connection
        assert connection is not None
        try:
            head = await connection.ask(request, lambda _: True)
            call.status = head.status
            call.identity = head.find(headers.REQUEST_ID) or ""
            call.seal = head.find(headers.SEAL) or ""
            while (part := await connection.read_body()) is not None:
                call.body += part
            call.whole = True
        except exceptions.HttpError as error:
            call.failure = str(error) or type(error).__name__
        call.ended_s = anyio.current_time()
        if call.failure or self.content or not connection.finish():
            self._close_connection()

    def _draw_request(self) -> tuple[histories.Call, messages.Request]:
        self.count += 1
        path = self._draw_turn() if self.turns else self.random.choice(PATHS)
        workspace = self.random.choice(tuple(operators.WORKSPACES))
        if self.content:
            path, workspace = "/read/", "bank"
        key = operators.WORKSPACES[workspace]
        is_temporary = self.random.random() < TEMPORARY_KEY_FRACTION
        if path == "/read/" and is_temporary and not self.content:
            older_version = max(
                0, self.operators.version - operators.VERSIONS_PER_KEY
            )
            version = self.random.choice(
                (older_version, self.operators.version)
            )
            workspace, key = "passing", operators.temporary_key(version)
        call = histories.Call(
            f"{self.name}-{self.count}",
            self.gateway,
            path,
            workspace,
            key,
            anyio.current_time(),
            shared_content=self.content,
        )
        fields = [
            (b"host", b"soak.example"),
            (headers.REQUEST_ID, call.id.encode()),
            (headers.KEY, key.encode()),
            (headers.DEADLINE_MS, b"%d" % (DEADLINE_S * 1000)),
        ]
        if path in histories.STREAM_PATHS:
            bounds = (3, MAX_TOKENS_OUT)
            if path == histories.LONG_PATH:
                bounds = LONG_TOKENS_OUT
            call.tokens_out = self.random.randint(*bounds)
            fields += self._prompt(call)
        body = f"body of {call.content}".encode()
        target = (path + call.content).encode()
        return call, messages.Request(b"POST", target, tuple(fields), body)

    def _draw_turn(self) -> str:
        """Returns a route that a version of late brought or dropped."""
        newest = operators.newest_turn(self.operators.version)
        ages = (range(TURN_AGES), range(operators.TURNS, TURNS_KNOWN))
        return operators.turn_path(
            newest - self.random.choice(self.random.choice(ages))
        )

    def _prompt(self, call: histories.Call) -> list[tuple[bytes, bytes]]:
        session = self.random.randrange(SESSIONS)
        shared, own = (400, 200), 50
        if call.path == histories.LONG_PATH:
            # Gateways have runs copied whose answer is long beside the prompt.
            shared, own = (100, 50), 50
        parts = (
            f"aa{session % 3:02x}:{shared[0]},bb{session:02x}:{shared[1]}"
            f",cc{self.count:04x}:{own}"
        )
        tokens = b"%d,%d" % (sum(shared) + own, call.tokens_out)
        return [
            (headers.MODEL, stand_ins.MODEL.encode()),
            (headers.TOKENS, tokens),
            (headers.LENGTH_ESTIMATE, b"%d" % call.tokens_out),
            (headers.PROMPT_PARTS, parts.encode()),
        ]
