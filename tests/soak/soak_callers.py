"""Callers of the soak, and the balancer that sends them to gateways."""

from __future__ import annotations

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

THINK_S = 0.08
CONNECT_TIMEOUT_S = 1.0
QUESTION_INTERVAL_S = 1.0
QUESTION_TIMEOUT_S = 0.8
MISSES = 2
DEADLINE_S = 3.0
# Share of requests that their callers leave early.
GIVE_UP_SHARE = 0.06
PASSING_KEY_SHARE = 0.08
# Answers in a row after which callers count as served again.
RECOVERED_ANSWERS = 30
MAX_ANSWER_BYTES = 1 << 20
SESSIONS = 12
PATHS = ("/read/", "/read/", "/write/", "/moved/", "/talk/", "/draft/")


@attrs.define
class Balancer:
    """Knows which gateways are in rotation.

    Attributes:
      fronts: Addresses that callers connect to, by gateway.
      readiness: Addresses that are asked, by gateway.
      misses: Questions in a row without a good answer, by gateway.
    """

    fronts: dict[str, address.Address]
    readiness: dict[str, address.Address]
    misses: dict[str, int] = attrs.field(factory=dict)

    async def ask(self, name: str) -> None:
        """Asks one gateway whether it is ready, again and again."""
        request = messages.Request(
            b"GET", b"/-/readyz", ((b"host", b"balancer"),)
        )
        while True:
            status = 0
            with anyio.move_on_after(QUESTION_TIMEOUT_S):
                status = await _status(self.readiness[name], request)
            missed = self.misses.get(name, MISSES) + 1
            self.misses[name] = 0 if status == 200 else missed
            await anyio.sleep(QUESTION_INTERVAL_S)

    def pick(self, draw: random.Random) -> str:
        """Returns a gateway in rotation; any if none is."""
        usable = [
            name
            for name in self.fronts
            if self.misses.get(name, MISSES) < MISSES
        ]
        return draw.choice(usable or list(self.fronts))


async def _status(place: address.Address, request: messages.Request) -> int:
    try:
        head, _ = await node_site.call(place, request, QUESTION_TIMEOUT_S)
    except exceptions.HttpError:
        return 0
    return head.status


@attrs.define
class Caller:
    """One caller, who keeps a connection for as long as it lasts.

    Attributes:
      name: Its name, which starts the ids of its requests.
      balancer: Sends it to gateways.
      history: Takes what it sees.
      operators: Tell which version is the newest that was sent.
      random: Draws its requests.
      count: Requests that it made.
      served: Answers in a row of all callers since the last fault.
      stopped: Whether it makes no further request.
    """

    name: str
    balancer: Balancer
    history: histories.History
    operators: operators.Operators
    random: random.Random
    served: list[int]
    count: int = 0
    gateway: str = ""
    connection: targets.TargetConnection | None = None
    stopped: bool = False

    async def run(self) -> None:
        """Makes requests until stopped."""
        try:
            while not self.stopped:
                await anyio.sleep(self.random.expovariate(1 / THINK_S))
                await self._call()
        finally:
            self._drop()

    def _drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _call(self) -> None:
        if self.connection is None and not await self._connect():
            self.served[0] = 0
            return
        call, request = self._draw()
        self.history.calls[call.id] = call
        leaves_s = DEADLINE_S
        leaves_early = self.random.random() < GIVE_UP_SHARE
        if leaves_early:
            leaves_s = self.random.uniform(0.01, 0.15)
        with anyio.move_on_after(leaves_s) as scope:
            await self._exchange(call, request)
        if scope.cancelled_caught:
            call.gave_up_s = anyio.current_time()
            self._drop()
        if leaves_early:
            return
        if call.whole and call.status < 500:
            self.served[0] += 1
        else:
            self.served[0] = 0

    async def _connect(self) -> bool:
        self.gateway = self.balancer.pick(self.random)
        place = self.balancer.fronts[self.gateway]
        try:
            self.connection = await targets.Pool().take(
                place, CONNECT_TIMEOUT_S
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
        if call.failure or not connection.finish():
            self._drop()

    def _draw(self) -> tuple[histories.Call, messages.Request]:
        self.count += 1
        path = self.random.choice(PATHS)
        workspace = self.random.choice(tuple(operators.WORKSPACES))
        key = operators.WORKSPACES[workspace]
        if path == "/read/" and self.random.random() < PASSING_KEY_SHARE:
            older = max(0, self.operators.version - operators.KEY_STEPS)
            version = self.random.choice((older, self.operators.version))
            workspace, key = "passing", operators.passing_key(version)
        call = histories.Call(
            f"{self.name}-{self.count}",
            self.gateway,
            path,
            workspace,
            key,
            anyio.current_time(),
        )
        fields = [
            (b"host", b"soak.example"),
            (headers.REQUEST_ID, call.id.encode()),
            (headers.KEY, key.encode()),
            (headers.DEADLINE_MS, b"%d" % (DEADLINE_S * 1000)),
        ]
        if path in histories.STREAM_PATHS:
            call.tokens_out = self.random.randint(3, 40)
            fields += self._prompt(call.tokens_out)
        body = f"body of {call.id}".encode()
        target = (path + call.id).encode()
        return call, messages.Request(b"POST", target, tuple(fields), body)

    def _prompt(self, tokens_out: int) -> list[tuple[bytes, bytes]]:
        session = self.random.randrange(SESSIONS)
        shared = f"aa{session % 3:02x}:400,bb{session:02x}:200"
        parts = f"{shared},cc{self.count:04x}:50"
        return [
            (headers.MODEL, stand_ins.MODEL.encode()),
            (headers.TOKENS, b"650,%d" % tokens_out),
            (headers.PROMPT_PARTS, parts.encode()),
        ]
