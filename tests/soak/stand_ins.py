"""Targets that tell all that reached them, and the list that names them."""

from __future__ import annotations

import json
import random
import typing

import anyio
import anyio.abc
import attrs
from tests.soak import history as histories

from cactusstile.http import callers
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import sockets
from cactusstile.platform import headers
from cactusstile.transport import address

MODEL = "m"
ENGINE = "engine"
PLACES = 24
# Requests that wait besides; further ones are refused.
QUEUE = 8
WORK_S = 0.03
PREFILL_S = 0.05
STEP_S = 0.02
LOAD_S = 0.2
# Longest time after which an unanswered order is carried out.
LATE_S = 2.0
LATE_SHARE = 0.15
MISDIRECTED = 421
FULL = 503


@attrs.define
class Weights:
    """Versions that operators named.

    Attributes:
      newest: The newest, which a new engine starts with.
    """

    newest: int = 1


@attrs.define(eq=False)
class Target:
    """A target of a service; an engine if its service is `ENGINE`.

    Attributes:
      id: Its id.
      service: Its service.
      listed: Address in the list.
      history: Takes what it sees.
      named: Versions that operators named.
      random: Draws its failures.
      leaving: Whether the list shows it as leaving.
      failing: Share of requests that it fails.
      weights: Version that it holds.
      born_ms: Time of its start.
      orders: Orders that it accepted.
      fence: Highest fence that it has seen.
      busy: Whether it carries out an order.
      running: Requests that it works on.
      cached: Workspace and version of those who made the parts, by salt and id.
    """

    id: str
    service: str
    listed: address.Address
    history: histories.History
    named: Weights
    random: random.Random
    born_ms: int
    leaving: bool = False
    failing: float = 0.0
    weights: int = 1
    orders: int = 0
    fence: int = 0
    busy: bool = False
    running: int = 0
    cached: dict[tuple[str, str], tuple[int, str]] = attrs.field(factory=dict)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    _group: anyio.abc.TaskGroup = attrs.field(init=False)

    async def serve(self, bound: address.Address) -> None:
        """Serves until its scope is cancelled, which resets connections."""
        with self.scope:
            async with anyio.create_task_group() as group:
                self._group = group
                await callers.serve_listener(
                    sockets.listen(bound),
                    callers.internal_serving(self._handle),
                    group,
                )

    async def _handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        if request.path == "/-/report":
            await _send_json(responder, 200, self._report())
            return
        expected = request.find(headers.EXPECTED_TARGET)
        if expected not in (None, self.id):
            await self._reject(request, responder, MISDIRECTED)
            return
        if request.path == "/-/order":
            await self._take_order(request, responder)
            return
        await self._take_request(request, responder)

    def _report(self) -> dict[str, typing.Any]:
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.weights}],
            "busy": self.busy,
            "seq": self.orders,
            "queued": 0,
            "active": self.running,
            "born": self.born_ms,
        }

    def entry(self) -> dict[str, typing.Any]:
        """Returns its entry in the list."""
        found: dict[str, typing.Any] = {
            "id": self.id,
            "service": self.service,
            "address": str(self.listed),
            "zone": "here",
            "slots": PLACES,
            "state": "draining" if self.leaving else "ready",
            "coldRemainingMs": 0,
            "born": self.born_ms,
        }
        if self.service == ENGINE:
            found["models"] = self._report()["models"]
        return found

    async def _take_order(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        order = json.loads(request.body)
        now_s = anyio.current_time()
        accepted = (
            order["fence"] >= self.fence
            and not self.busy
            and order.get("expect", self.orders) == self.orders
        )
        self.history.orders.append(
            histories.Order(
                self.id, order["holder"], order["fence"], now_s, accepted
            )
        )
        if order["fence"] < self.fence:
            await _send_json(responder, 412, {})
            return
        self.fence = order["fence"]
        if not accepted:
            await _send_json(responder, 409, {})
            return
        if self.random.random() < LATE_SHARE:
            self._group.start_soon(self._carry_out_late, order)
            raise exceptions.ConnectionEndedError("an answer is withheld")
        self._accept(order)
        await _send_json(responder, 202, {})

    async def _carry_out_late(self, order: dict[str, typing.Any]) -> None:
        await anyio.sleep(self.random.uniform(0, LATE_S))
        if not self.busy and order["expect"] == self.orders:
            self._accept(order)

    def _accept(self, order: dict[str, typing.Any]) -> None:
        self.orders += 1
        self.busy = True
        self._group.start_soon(self._load, order["version"])

    async def _load(self, version: int) -> None:
        await anyio.sleep(LOAD_S)
        self.weights = version
        self.cached.clear()
        self.busy = False

    async def _take_request(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        arrival = histories.Arrival(
            request.find(headers.REQUEST_ID) or "",
            self.id,
            self.service,
            anyio.current_time(),
            workspace=request.find(headers.WORKSPACE) or "",
            path=request.target.decode(),
            body=request.body,
            key=request.find(headers.KEY) or "",
            last_event=int(request.find(headers.LAST_EVENT_ID) or 0),
        )
        self.history.arrivals.append(arrival)
        wanted = request.find(headers.EXPECTED_WEIGHTS)
        if wanted is not None and int(wanted) != self.weights:
            await self._reject(request, responder, MISDIRECTED)
            return
        if self.busy or self.running >= PLACES + QUEUE:
            await self._reject(request, responder, FULL)
            return
        arrival.ran = True
        arrival.weights = self.weights
        self.running += 1
        try:
            await self._run(request, responder, arrival)
        finally:
            self.running -= 1
            arrival.ended_s = anyio.current_time()

    async def _reject(
        self,
        request: messages.Request,
        responder: responders.Responder,
        status: int,
    ) -> None:
        fields = [
            (headers.REQUEST_ID, (request.find(headers.REQUEST_ID) or "-")),
            (headers.NOT_RUN, "1"),
        ]
        encoded = [(name, value.encode()) for name, value in fields]
        await responder.respond(status, encoded, b"")

    async def _run(
        self,
        request: messages.Request,
        responder: responders.Responder,
        arrival: histories.Arrival,
    ) -> None:
        failing = self.random.random() < self.failing
        arrival.broke_off = failing
        fields = [
            (headers.REQUEST_ID, arrival.request_id.encode()),
            (headers.SEAL, f"{self.id}/{arrival.request_id}".encode()),
            (headers.LOAD, b"%d,0,%d" % (self.running, PLACES)),
        ]
        if request.find(headers.TOKENS) is None:
            await anyio.sleep(self.random.expovariate(1 / WORK_S))
            if failing:
                raise exceptions.ConnectionEndedError("an answer is lost")
            body = expected_body(arrival.request_id)
            await responder.respond(200, fields, body)
            return
        await self._read_prompt(request, arrival)
        fields.append((b"content-type", headers.EVENT_STREAM.encode()))
        await self._stream(request, responder, arrival, fields)

    async def _read_prompt(
        self, request: messages.Request, arrival: histories.Arrival
    ) -> None:
        """Reads what is not cached; notes who made what is."""
        salt = request.find(headers.CACHE_SALT) or ""
        reused = []
        parts = (request.find(headers.PROMPT_PARTS) or "").split(",")
        for part in parts:
            key = (salt, part.partition(":")[0])
            if key in self.cached:
                reused.append(self.cached[key])
                continue
            await anyio.sleep(PREFILL_S / len(parts))
            self.cached[key] = (self.weights, arrival.workspace)
        arrival.reused = tuple(reused)

    async def _stream(
        self,
        request: messages.Request,
        responder: responders.Responder,
        arrival: histories.Arrival,
        fields: list[tuple[bytes, bytes]],
    ) -> None:
        _, _, out = (request.find(headers.TOKENS) or "0,0").partition(",")
        breaks_at = 0
        if arrival.broke_off:
            breaks_at = self.random.randrange(int(out)) + 1
        await responder.start(200, fields)
        for number in range(arrival.last_event + 1, int(out) + 1):
            await anyio.sleep(STEP_S)
            event = expected_event(arrival.request_id, number)
            if number == breaks_at:
                await responder.send(event[: len(event) // 2])
                raise exceptions.ConnectionEndedError("a stream breaks off")
            await responder.send(event)
        await responder.finish()


def expected_body(request_id: str) -> bytes:
    """Returns the body of a plain answer."""
    return f"answer to {request_id}\n".encode() * 20


def expected_event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


async def _send_json(
    responder: responders.Responder, status: int, body: dict[str, typing.Any]
) -> None:
    fields = [(b"content-type", b"application/json")]
    await responder.respond(status, fields, json.dumps(body).encode())


@attrs.define
class Listing:
    """The platform's list of targets.

    Attributes:
      targets: Targets that it names.
      fault: What is wrong with its answers; empty if nothing is.
    """

    targets: list[Target] = attrs.field(factory=list)
    fault: str = ""

    async def answer(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Answers a read of the list."""
        del request
        if self.fault == "too_many":
            await _send_json(responder, 429, {})
            return
        if self.fault == "silent":
            await anyio.sleep(2.0)
        entries: list[typing.Any] = [one.entry() for one in self.targets]
        if self.fault == "torn":
            entries += [{"id": 7, "service": None}, "?", {"state": "odd"}]
        await _send_json(responder, 200, {"instances": entries, "next": None})
