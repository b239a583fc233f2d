"""Clients that record call histories of control, and models to check them."""

from __future__ import annotations

import collections
import functools
import math
import random
import typing

import anyio
import attrs
from tests.support import linearizability

from cactusstile.control import claim_messages
from cactusstile.control import exceptions
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model

if typing.TYPE_CHECKING:
    from tests.support import control_cluster

    from cactusstile.control import client

CALL_TIMEOUT_S = 3.0
CLAIM_PAUSE_S = 0.01
CHANGE_PAUSE_S = 0.12
FENCE_PAUSE_S = 0.08
KEYS_PER_S = 8
RELEASED_FRACTION = 0.3

Operation = linearizability.Operation


@attrs.define
class Histories:
    """Histories that the clients recorded.

    Attributes:
      claims: Operations by request key.
      changes: Operations on the configuration.
      fences: Operations on one target's fencing number.
      draws: Draws of claim epochs.
      runs: Number of runs by request key; each granted claim is one run.
    """

    claims: dict[str, list[Operation]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    changes: list[Operation] = attrs.field(factory=list)
    fences: list[Operation] = attrs.field(factory=list)
    draws: list[Operation] = attrs.field(factory=list)
    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def check(self) -> None:
        """Asserts that all histories are linearizable and no key ran twice."""
        repeated = {key: count for key, count in self.runs.items() if count > 1}
        assert not repeated, f"ran more than once: {repeated}"
        for key, history in self.claims.items():
            assert linearizability.is_linearizable(history, None, step_claim), (
                f"claims of {key}: {history}"
            )
        assert linearizability.is_linearizable(self.fences, 0, step_fence), (
            self.fences
        )
        assert _is_increasing(self.draws), self.draws
        start = ((), 0)
        assert linearizability.is_linearizable(
            self.changes, start, step_change
        ), self.changes

    def count(self) -> tuple[int, int]:
        """Returns the number of operations and of those without a response."""
        operations = [*self.changes, *self.fences]
        for history in self.claims.values():
            operations += history
        return len(operations), sum(
            not operation.has_response for operation in operations
        )

    def count_answered_after(self, time_s: float) -> int:
        """Returns how many claim calls sent after `time_s` were answered."""
        return sum(
            operation.has_response and operation.invoked > time_s
            for history in self.claims.values()
            for operation in history
        )


def step_claim(
    state: typing.Any, call: typing.Any
) -> tuple[typing.Any, object]:
    """Models the claim of one request key.

    The state is None without a claim, or (state, claim identity, answer).
    """
    action, claim_id, answer = call
    granted = False
    if action == "claim" and state is None:
        state = ("running", claim_id, b"")
    if action == "claim":
        granted = state == ("running", claim_id, b"")
    if action == "close" and state is None:
        state = ("closed", bytes(16), b"")
    if action == "finish" and state == ("running", claim_id, b""):
        state = ("finished", claim_id, answer)
    if action == "release" and state == ("running", claim_id, b""):
        state = None
    if action == "release":
        return state, "given back"
    return state, (granted, *(state or ("absent", b"", b"")))


def step_fence(state: int, call: str) -> tuple[int, object]:
    """Models the fencing number of one target."""
    number = state + 1 if call == "take" else state
    return number, number


def _is_increasing(draws: list[Operation]) -> bool:
    """Returns whether each draw exceeds all that returned before its call."""
    answered = [draw for draw in draws if draw.returned < math.inf]
    for draw in answered:
        for earlier in answered:
            if (
                earlier.returned < draw.invoked
                and earlier.result >= draw.result
            ):
                return False
    return True


def step_change(
    state: typing.Any, call: typing.Any
) -> tuple[typing.Any, object]:
    """Models the configuration.

    The state is (used revisions with their digests, current revision).
    """
    used, current = state
    digests = dict(used)
    if call == "read":
        return state, (current, digests.get(current, b"")[:16])
    revision, base, digest = call
    if revision in digests:
        same = digests[revision][:16] == digest[:16]
        return state, ("accepted" if same else "taken", revision)
    if revision <= current:
        return state, ("lower", current)
    if base != current:
        return state, ("moved", current)
    return ((*used, (revision, digest)), revision), ("accepted", revision)


class Recorder:
    """Runs clients against a cluster and records their calls.

    Attributes:
      cluster: The cluster.
      rng: Source of all random choices.
      histories: Calls recorded so far.
      stopping: Whether all clients stop after their current iteration.
    """

    def __init__(
        self, cluster: control_cluster.Cluster, rng: random.Random
    ) -> None:
        self.cluster = cluster
        self.rng = rng
        self.histories = Histories()
        self.stopping = False
        self._started_s = anyio.current_time()

    async def run(self) -> None:
        """Runs all clients until `stopping` is set."""
        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(self._claim_repeatedly, f"a{number}")
            for number in range(2):
                group.start_soon(self._draw_repeatedly, f"d{number}")
                group.start_soon(self._change_repeatedly, f"o{number}")
            group.start_soon(self._read_repeatedly, "r")
            group.start_soon(self._fence_repeatedly, "f")

    async def read_all(self) -> None:
        """Reads every key again, to see the effects of unanswered calls."""
        async with self.cluster.open_client("reader", "agent") as control:
            send = _build_claim_call(control)
            for key, history in self.histories.claims.items():
                read = claim_messages.ReadClaim("w", key, b"d")
                call = ("read", b"", b"")
                send_read = functools.partial(send, read)
                result = await self._record(history, call, send_read)
                assert result is not None, f"{key} could not be read"

    async def _record(
        self,
        history: list[Operation],
        call: typing.Any,
        send: typing.Any,
    ) -> typing.Any:
        """Sends and records a call; returns None if it has no response."""
        invoked = anyio.current_time()
        try:
            result = await send()
        except exceptions.OutcomeUnknownError:
            history.append(Operation(call, invoked, math.inf))
            return None
        except exceptions.ControlUnavailableError:
            return None
        returned = anyio.current_time()
        history.append(Operation(call, invoked, returned, result))
        return result

    async def _draw_repeatedly(self, name: str) -> None:
        async with self.cluster.open_client(name, "entry") as control:

            async def draw() -> object:
                reply = await control.read_claim(
                    "w", "drawn", b"d", timeout_s=CALL_TIMEOUT_S
                )
                return reply.epoch

            while not self.stopping:
                await self._record(self.histories.draws, "draw", draw)
                await anyio.sleep(FENCE_PAUSE_S)

    async def _claim_repeatedly(self, name: str) -> None:
        async with self.cluster.open_client(name, "agent") as control:
            while not self.stopping:
                age_s = anyio.current_time() - self._started_s
                number = int(age_s * KEYS_PER_S) - self.rng.randrange(3)
                await self._process_key(control, f"k{max(0, number)}")
                await anyio.sleep(CLAIM_PAUSE_S)

    async def _process_key(
        self, control: client.ControlClient, key: str
    ) -> None:
        """Claims a key and finishes it, or releases it as after a lost reply.

        A claim whose reply is lost is released although it may not have been
        granted, so a release may find another claim or none.
        """
        history = self.histories.claims[key]
        claim_id = self.rng.randbytes(16)
        send = _build_claim_call(control)
        kind = self.rng.choice(["claim"] * 6 + ["close", "read"])
        if kind == "close":
            message: object = claim_messages.CloseClaim("w", key, b"d")
        elif kind == "read":
            message = claim_messages.ReadClaim("w", key, b"d")
        else:
            message = claim_messages.Claim("w", key, b"d", 1, claim_id)
        call = (kind, claim_id, b"")
        result = await self._record(history, call, lambda: send(message))
        is_lost = result is None or self.rng.random() < RELEASED_FRACTION
        if kind == "claim" and is_lost:
            release = claim_messages.ReleaseClaim("w", key, claim_id)
            call = ("release", claim_id, b"")
            await self._record(history, call, lambda: _release(send, release))
            return
        if result is None or not result[0]:
            return
        self.histories.runs[key] += 1
        answer = claim_id[:4]
        finish = claim_messages.FinishClaim("w", key, claim_id, "ok", answer)
        call = ("finish", claim_id, answer)
        await self._record(history, call, lambda: send(finish))

    async def _change_repeatedly(self, name: str) -> None:
        async with self.cluster.open_client(name) as control:
            while not self.stopping:
                try:
                    base = await control.read_fleet(timeout_s=CALL_TIMEOUT_S)
                except exceptions.ControlError:
                    continue
                share = float(self.rng.randrange(1, 4))
                await self._change(control, base, share)
                await anyio.sleep(CHANGE_PAUSE_S)

    async def _change(
        self, control: client.ControlClient, base: model.Fleet, share: float
    ) -> None:
        revision = base.revision + self.rng.choice([0, 1, 1, 1, 2])
        name = f"w{self.rng.randrange(3)}"
        workspaces = {**base.workspaces, name: model.Workspace(name, (), share)}
        fleet = model.Fleet("lagos", revision or 1, workspaces)
        digest = encoding.digest_bytes(encoding.content_digest(fleet))
        message = messages.ApplyChange(
            fleet.revision,
            base.revision,
            digest,
            delta.pack(delta.diff(base, fleet)),
        )

        async def send() -> object:
            reply = await control.call(
                message, messages.ApplyReply, CALL_TIMEOUT_S
            )
            return reply.outcome, reply.revision

        call = (fleet.revision, base.revision, digest)
        await self._record(self.histories.changes, call, send)

    async def _read_repeatedly(self, name: str) -> None:
        async with self.cluster.open_client(name, "entry") as control:

            async def send() -> object:
                reply = await control.read_revision(timeout_s=CALL_TIMEOUT_S)
                digest = reply.digest[:16] if reply.revision else b""
                return reply.revision, digest

            while not self.stopping:
                await self._record(self.histories.changes, "read", send)
                await anyio.sleep(CHANGE_PAUSE_S)

    async def _fence_repeatedly(self, name: str) -> None:
        async with self.cluster.open_client(name, "agent") as control:

            async def take() -> object:
                return await control.take_fence("t", timeout_s=CALL_TIMEOUT_S)

            async def read() -> object:
                return await control.read_fence("t", timeout_s=CALL_TIMEOUT_S)

            while not self.stopping:
                history = self.histories.fences
                await self._record(history, "take", take)
                await self._record(history, "read", read)
                await anyio.sleep(FENCE_PAUSE_S)


async def _release(
    send: typing.Any, release: claim_messages.ReleaseClaim
) -> object:
    """Returns "given back", or the state of a claim that is still held.

    The reply to a resent release shows what happened since the first one.
    Replies can therefore differ in all but the loss of the released claim.
    """
    _, state, claim_id, _ = await send(release)
    if claim_id == release.claim_id and state == "running":
        return state
    return "given back"


def _build_claim_call(control: client.ControlClient) -> typing.Any:
    """Returns a function that sends a claim message and unpacks the reply."""

    async def send(message: object) -> object:
        reply = await control.call(
            message, claim_messages.ClaimReply, CALL_TIMEOUT_S
        )
        return (reply.granted, reply.state, reply.claim_id, reply.answer)

    return send
