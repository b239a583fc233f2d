"""Fake targets that record all requests, and a fake platform list."""

from __future__ import annotations

import collections.abc
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
SLOTS = 24
# Requests that may wait beyond the slots; further ones are refused.
QUEUE_LIMIT = 8
MEAN_RUN_S = 0.03
PREFILL_S = 0.05
TOKEN_S = 0.02
LOAD_S = 0.2
# Maximum delay until an order without an answer takes effect.
MAX_LATE_S = 2.0
LATE_FRACTION = 0.15
MISDIRECTED = 421
FULL = 503


@attrs.define
class Weights:
    """Versions of the weights that operators named.

    Attributes:
      newest: Newest version, which new engines start with.
    """

    newest: int = 1


@attrs.define(eq=False)
class Target:
    """A fake target; an engine if its service is `ENGINE`.

    Attributes:
      id: Id of the target.
      service: Service of the target.
      listed: Address in the list.
      history: Records requests and orders.
      named_weights: Versions that operators named.
      random: Draws its failures.
      born_ms: Time of its start.
      data_centre: Data centre that the list names.
      leaving: Whether the list shows it as leaving.
      failure_fraction: Fraction of requests that it makes fail.
      limit_per_s: Requests per second that it takes; None for any number.
      weights: Loaded version of the weights.
      orders: Number of accepted orders.
      fence: Highest fence of all orders.
      busy: Whether it is carrying out an order.
      running: Number of requests that it runs or queues.
      cached: Version of the weights and workspace that each cached part was
        computed for, by salt and id of the part.
      scope: Cancelled to end the target.
      on_end: Called when a request ends the target.
    """

    id: str
    service: str
    listed: address.Address
    history: histories.History
    named_weights: Weights
    random: random.Random
    born_ms: int
    data_centre: str = "here"
    leaving: bool = False
    failure_fraction: float = 0.0
    limit_per_s: float | None = None
    weights: int = 1
    orders: int = 0
    fence: int = 0
    busy: bool = False
    running: int = 0
    cached: dict[tuple[str, str], tuple[int, str]] = attrs.field(factory=dict)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    on_end: collections.abc.Callable[[Target], None] = lambda _: None
    _group: anyio.abc.TaskGroup = attrs.field(init=False)

    async def serve(self, bound: address.Address) -> None:
        """Serves until `scope` is cancelled, which resets connections."""
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
            await self._receive_order(request, responder)
            return
        await self._receive_request(request, responder)

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
        """Returns the target's entry in the list."""
        fields: dict[str, typing.Any] = {
            "id": self.id,
            "service": self.service,
            "address": str(self.listed),
            "zone": self.data_centre,
            "slots": SLOTS,
            "state": "draining" if self.leaving else "ready",
            "coldRemainingMs": 0,
            "born": self.born_ms,
        }
        if self.service == ENGINE:
            fields["models"] = self._report()["models"]
        return fields

    async def _receive_order(
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
        if self.random.random() < LATE_FRACTION:
            self._group.start_soon(self._accept_late, order)
            raise exceptions.ConnectionEndedError(
                "the answer to the order is withheld"
            )
        self._accept(order)
        await _send_json(responder, 202, {})

    async def _accept_late(self, order: dict[str, typing.Any]) -> None:
        await anyio.sleep(self.random.uniform(0, MAX_LATE_S))
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

    async def _receive_request(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        arrival = histories.Arrival(
            request.find(headers.REQUEST_ID) or "",
            self.id,
            self.service,
            anyio.current_time(),
            data_centre=self.data_centre,
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
        if self.busy or self.running >= SLOTS + QUEUE_LIMIT:
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
        encoded += self._limit_fields()
        await responder.respond(status, encoded, b"")

    async def _run(
        self,
        request: messages.Request,
        responder: responders.Responder,
        arrival: histories.Arrival,
    ) -> None:
        if arrival.path.endswith(histories.ENDS_TARGETS):
            await anyio.sleep(MEAN_RUN_S)
            self.history.ended_by_request_s.append(anyio.current_time())
            self.on_end(self)
            self.scope.cancel()
            await anyio.sleep_forever()
        fails = self.random.random() < self.failure_fraction
        arrival.failed_by_target = fails
        fields = [
            (headers.REQUEST_ID, arrival.request_id.encode()),
            (headers.SEAL, f"{self.id}/{arrival.request_id}".encode()),
            (headers.LOAD, b"%d,0,%d" % (self.running, SLOTS)),
            *self._limit_fields(),
        ]
        if request.find(headers.TOKENS) is None:
            await anyio.sleep(self.random.expovariate(1 / MEAN_RUN_S))
            if fails:
                raise exceptions.ConnectionEndedError("the answer is dropped")
            body = expected_body(arrival.request_id)
            await responder.respond(200, fields, body)
            return
        await self._prefill(request, arrival)
        fields.append((b"content-type", headers.EVENT_STREAM.encode()))
        await self._stream(request, responder, arrival, fields)

    def _limit_fields(self) -> list[tuple[bytes, bytes]]:
        if self.limit_per_s is None:
            return []
        return [(headers.LIMIT, str(self.limit_per_s).encode())]

    async def _prefill(
        self, request: messages.Request, arrival: histories.Arrival
    ) -> None:
        """Simulates prefill of uncached parts and records the reused ones."""
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
        _, _, tokens_out = (request.find(headers.TOKENS) or "0,0").partition(
            ","
        )
        interrupted_at = 0
        if arrival.failed_by_target:
            interrupted_at = self.random.randrange(int(tokens_out)) + 1
        await responder.start(200, fields)
        for number in range(arrival.last_event + 1, int(tokens_out) + 1):
            await anyio.sleep(TOKEN_S)
            event = expected_event(arrival.request_id, number)
            if number == interrupted_at:
                await responder.send(event[: len(event) // 2])
                raise exceptions.ConnectionEndedError(
                    "the stream is interrupted"
                )
            await responder.send(event)
        await responder.finish()


def expected_body(request_id: str) -> bytes:
    """Returns the body of an answer that is not streamed."""
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
      targets: Targets in the list.
      fault: Current fault of its answers: "too_many", "silent" or "torn";
        empty for none.
    """

    targets: list[Target] = attrs.field(factory=list)
    fault: str = ""

    async def answer(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Responds to a read of the list."""
        del request
        if self.fault == "too_many":
            await _send_json(responder, 429, {})
            return
        if self.fault == "silent":
            await anyio.sleep(2.0)
        entries: list[typing.Any] = [target.entry() for target in self.targets]
        if self.fault == "torn":
            entries += [{"id": 7, "service": None}, "?", {"state": "odd"}]
        await _send_json(responder, 200, {"instances": entries, "next": None})
