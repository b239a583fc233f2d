"""Fake agent over the real transport, for tests of the entry.

Its output is a function of prompt, workspace, deployment, adapter and weight
version, so that tests detect any wrong answer. A script can replace the
default answer to a run.
"""

from __future__ import annotations

import collections.abc
import contextlib
import hashlib
import json
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import server

TOKEN_CHARACTERS = 4
_LOCAL_ADDRESS = address.Address("127.0.0.1", 0)


def output_tokens(run: messages.Run) -> list[int]:
    """Returns the complete output of a run on its weight version."""
    identity = [run.workspace, run.deployment, run.adapter, run.version]
    content = json.dumps([identity, run.tokens]).encode()
    size = run.max_tokens * TOKEN_CHARACTERS
    data = hashlib.shake_128(content).digest(size)
    letters = bytes(ord("a") + byte % 26 for byte in data)
    return [
        int.from_bytes(letters[start : start + TOKEN_CHARACTERS], "little")
        for start in range(0, size, TOKEN_CHARACTERS)
    ]


def detokenize(tokens: collections.abc.Sequence[int]) -> str:
    """Returns the text of output tokens."""
    return b"".join(
        token.to_bytes(TOKEN_CHARACTERS, "little") for token in tokens
    ).decode()


def output_batch(run: messages.Run, first: int, end: int) -> messages.RunTokens:
    """Returns a batch of a run's output."""
    tokens = output_tokens(run)[first:end]
    return messages.RunTokens(first, tuple(tokens), detokenize(tokens))


def run_end(run: messages.Run) -> messages.RunEnd:
    """Returns the final message of a run."""
    return messages.RunEnd(
        run.max_tokens, "length", run.version, len(run.tokens), 0, 0
    )


def not_run(
    reason: verdict.Reason = verdict.Reason.OVERLOADED,
) -> messages.Refused:
    """Returns a refusal of a run that was not started."""
    refusal = verdict.Refusal(
        verdict.Verdict.NOT_RUN, reason, "not started", 1.0
    )
    return messages.to_refused(refusal)


Script: typing.TypeAlias = collections.abc.Callable[
    [incoming.Responder, messages.Run], collections.abc.Awaitable[object]
]

ProbeHandler: typing.TypeAlias = collections.abc.Callable[
    [incoming.Responder, messages.Probe], collections.abc.Awaitable[object]
]


@attrs.define
class ScriptedAgent:
    """An agent whose answers are configured by a test.

    Attributes:
      name: Name of the agent's target.
      version: Reported weight version.
      batch_tokens: Number of tokens in a batch.
      batch_interval_s: Seconds between two batches.
      wait_ms: Reported wait in milliseconds.
      leaving: Whether the target is reported as leaving.
      script: Answers a run; None sends the output in order.
      service: Answers a call to a plain service.
      runs: Received runs.
      attaches: Received requests to attach to a run.
      calls: Received calls to a plain service.
      was_cancelled: Set once the entry cancelled a run.
      bound: Listening address.
      answer_probe: Answers a probe.
    """

    name: str = "engine-1"
    version: str = "v1"
    batch_tokens: int = 4
    batch_interval_s: float = 0.0
    wait_ms: int = 0
    leaving: bool = False
    script: Script | None = None
    service: collections.abc.Callable[[messages.ServiceCall], object] = (
        lambda call: messages.ServiceReply(200, (), call.body)
    )
    runs: list[messages.Run] = attrs.field(factory=list)
    attaches: list[messages.Attach] = attrs.field(factory=list)
    calls: list[messages.ServiceCall] = attrs.field(factory=list)
    was_cancelled: anyio.Event = attrs.field(factory=anyio.Event)
    bound: address.Address = _LOCAL_ADDRESS
    answer_probe: ProbeHandler = attrs.field()

    @answer_probe.default
    def _default_probe(self) -> ProbeHandler:
        return self._answer_probe

    def handlers(self) -> incoming.Handlers:
        """Returns the handlers of the messages to the agent."""
        return incoming.Handlers(
            calls={
                messages.Probe: self._probe,
                messages.Run: self._run,
                messages.Attach: self._attach,
                messages.ServiceCall: self._call,
            }
        )

    async def send_output(
        self, responder: incoming.Responder, run: messages.Run, first: int
    ) -> object:
        """Sends output from token `first`; returns the final message."""
        for start in range(first, run.max_tokens, self.batch_tokens):
            end = min(start + self.batch_tokens, run.max_tokens)
            await responder.send(output_batch(run, start, end))
            await anyio.sleep(self.batch_interval_s)
        return run_end(run)

    async def _probe(
        self, responder: incoming.Responder, probe: messages.Probe
    ) -> object:
        return await self.answer_probe(responder, probe)

    async def _answer_probe(
        self, _: incoming.Responder, probe: messages.Probe
    ) -> object:
        return messages.ProbeReply(
            probe.revision, self.version, 0, 0, 0, 8, self.wait_ms, 0,
            self.leaving,
        )  # fmt: skip

    async def _run(
        self, responder: incoming.Responder, run: messages.Run
    ) -> object:
        self.runs.append(run)
        try:
            if self.script is not None:
                return await self.script(responder, run)
            first = len(run.generated)
            return await self.send_output(responder, run, first)
        except anyio.get_cancelled_exc_class():
            if responder.scope.cancel_called:
                self.was_cancelled.set()
            raise

    async def _attach(
        self, responder: incoming.Responder, attach: messages.Attach
    ) -> object:
        self.attaches.append(attach)
        for run in self.runs:
            if run.request_key == attach.request_key:
                first = attach.next_index
                return await self.send_output(responder, run, first)
        return not_run(verdict.Reason.TARGET_LOST)

    async def _call(
        self, _: incoming.Responder, call: messages.ServiceCall
    ) -> object:
        self.calls.append(call)
        return self.service(call)


@contextlib.asynccontextmanager
async def open_agent(
    agent: ScriptedAgent, secrets: handshake.Secrets
) -> collections.abc.AsyncIterator[server.Server]:
    """Serves `agent` on a free local port while the context is open."""
    identity = handshake.Identity("agent", agent.name)
    async with server.open_server(
        agent.bound, identity, secrets, agent.handlers()
    ) as opened:
        agent.bound = opened.bound
        yield opened
