"""Fake targets that record all requests."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import random
import signal
import typing

import anyio
import anyio.abc
import attrs
from tests.soak import history as histories
from tests.soak import journals

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.transport import address

MODEL = "m"
ENGINE = "engine"
SLOTS = 24
# Requests that may wait beyond the slots; further ones are refused.
QUEUE_LIMIT = 8
MEAN_RUN_S = 0.03
# Long enough that faults meet runs that must not be repeated.
MEAN_WRITE_S = 0.25
PREFILL_S = 0.05
TOKEN_S = 0.02
LOAD_S = 0.2
# Maximum delay until an order without an answer takes effect.
MAX_LATE_S = 2.0
LATE_FRACTION = 0.15
COPY_PATH = "/-/copy/"
COPY_TIMEOUT_S = 1.0
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
      journal: Records requests and orders.
      random: Draws its failures.
      born_ms: Time of its start.
      weights: Loaded version of the weights.
      leaving: Whether its answers say that it leaves.
      failure_fraction: Fraction of requests that it makes fail.
      limit_per_s: Requests per second that it takes; None for any number.
      orders: Number of accepted orders.
      fence: Highest fence of all orders.
      busy: Whether it is carrying out an order.
      running: Number of requests that it runs or queues.
      cached: Version of the weights and workspace that each cached part was
        computed for, by salt and id of the part.
      copies: Ids of runs of which it holds a copy.
    """

    id: str
    service: str
    journal: journals.Journal
    random: random.Random
    born_ms: int
    weights: int
    leaving: bool = False
    failure_fraction: float = 0.0
    limit_per_s: float | None = None
    orders: int = 0
    fence: int = 0
    busy: bool = False
    running: int = 0
    cached: dict[tuple[str, str], tuple[int, str]] = attrs.field(factory=dict)
    copies: set[str] = attrs.field(factory=set)
    _group: anyio.abc.TaskGroup = attrs.field(init=False)

    def start(
        self, group: anyio.abc.TaskGroup
    ) -> collections.abc.Callable[
        [messages.Request, responders.Responder],
        collections.abc.Awaitable[None],
    ]:
        """Returns the handler of requests, whose tasks belong to `group`."""
        self._group = group
        return self._handle

    async def _handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        if request.path == "/-/report":
            await send_json(responder, 200, self._report())
            return
        expected = request.find(headers.EXPECTED_TARGET)
        if expected not in (None, self.id):
            await self._reject(request, responder, MISDIRECTED)
            return
        if request.path == "/-/order":
            await self._receive_order(request, responder)
            return
        if request.path.startswith(COPY_PATH):
            self.copies.add(request.path.removeprefix(COPY_PATH))
            await send_json(responder, 200, {})
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

    async def _receive_order(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        order = json.loads(request.body)
        accepted = (
            order["fence"] >= self.fence
            and not self.busy
            and order.get("expect", self.orders) == self.orders
        )
        self.journal.write(
            "order",
            holder=order["holder"],
            fence=order["fence"],
            accepted=accepted,
        )
        if order["fence"] < self.fence:
            await send_json(responder, 412, {})
            return
        self.fence = order["fence"]
        if not accepted:
            await send_json(responder, 409, {})
            return
        if self.random.random() < LATE_FRACTION:
            self._group.start_soon(self._accept_late, order)
            raise exceptions.ConnectionEndedError(
                "the answer to the order is withheld"
            )
        self._accept(order)
        await send_json(responder, 202, {})

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
        self.journal.write("weights", version=version)
        self.cached.clear()
        self.busy = False

    async def _receive_request(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        copied_run = (request.find(headers.KV_FROM) or "").rpartition("/")[2]
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
            from_copy=bool(copied_run),
        )
        number = self.journal.arrive(arrival)
        wanted = request.find(headers.EXPECTED_WEIGHTS)
        if wanted is not None and int(wanted) != self.weights:
            await self._reject(request, responder, MISDIRECTED)
            return
        if self.busy or self.running >= SLOTS + QUEUE_LIMIT:
            await self._reject(request, responder, FULL)
            return
        if copied_run and copied_run not in self.copies:
            await self._reject(request, responder, FULL)
            return
        arrival.weights = self.weights
        self.running += 1
        began_s = anyio.current_time()
        self.journal.change(
            number, ran=True, began_s=began_s, weights=self.weights
        )
        try:
            await self._run(request, responder, arrival, number)
        finally:
            self.running -= 1
            self.journal.change(number, ended_s=anyio.current_time())

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
        encoded += self._own_fields()
        await responder.respond(status, encoded, b"")

    async def _run(
        self,
        request: messages.Request,
        responder: responders.Responder,
        arrival: histories.Arrival,
        number: int,
    ) -> None:
        if arrival.path.endswith(histories.ENDS_TARGETS):
            await anyio.sleep(MEAN_RUN_S)
            self.journal.write("ended_by_request")
            os.kill(os.getpid(), signal.SIGKILL)
        fails = self.random.random() < self.failure_fraction
        arrival.failed_by_target = fails
        if fails:
            self.journal.change(number, failed_by_target=True)
        fields = [
            (headers.REQUEST_ID, arrival.request_id.encode()),
            (headers.SEAL, f"{self.id}/{arrival.request_id}".encode()),
            (headers.LOAD, b"%d,0,%d" % (self.running, SLOTS)),
            *self._own_fields(),
        ]
        if request.find(headers.TOKENS) is None:
            mean_s = MEAN_RUN_S
            if arrival.path.startswith(histories.WRITE_PATH):
                mean_s = MEAN_WRITE_S
            await anyio.sleep(self.random.expovariate(1 / mean_s))
            if fails:
                raise exceptions.ConnectionEndedError("the answer is dropped")
            body = expected_body(arrival.request_id)
            await responder.respond(200, fields, body)
            return
        await self._prefill(request, arrival, number)
        holder = request.find(headers.KV_BACKUP)
        if holder is not None:
            self._group.start_soon(_send_copy, holder, arrival.request_id)
        fields.append((b"content-type", headers.EVENT_STREAM.encode()))
        await self._stream(request, responder, arrival, fields)

    def _own_fields(self) -> list[tuple[bytes, bytes]]:
        """Returns the fields of each answer that tell of the target."""
        fields = []
        if self.limit_per_s is not None:
            fields.append((headers.LIMIT, str(self.limit_per_s).encode()))
        if self.leaving:
            fields.append((headers.LEAVING, b"1"))
        return fields

    async def _prefill(
        self,
        request: messages.Request,
        arrival: histories.Arrival,
        number: int,
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
        self.journal.change(number, reused=reused)

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


async def _send_copy(holder: str, run: str) -> None:
    """Sends the copy of a run to another engine."""
    request = messages.Request(
        b"POST", f"{COPY_PATH}{run}".encode(), ((b"host", b"copy"),)
    )
    with contextlib.suppress(exceptions.HttpError, TimeoutError):
        with anyio.fail_after(COPY_TIMEOUT_S):
            pool = targets.Pool()
            connection = await pool.take(address.parse(holder), COPY_TIMEOUT_S)
            try:
                await connection.ask(request, lambda _: True)
            finally:
                connection.close()


def expected_body(request_id: str) -> bytes:
    """Returns the body of an answer that is not streamed."""
    return f"answer to {request_id}\n".encode() * 20


def expected_event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


async def send_json(
    responder: responders.Responder, status: int, body: dict[str, typing.Any]
) -> None:
    """Responds with a JSON body."""
    fields = [(b"content-type", b"application/json")]
    await responder.respond(status, fields, json.dumps(body).encode())
