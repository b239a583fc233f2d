"""Client of the control VMs, for entries, agents and the console.

    control = client.ControlClient(pool, addresses)
    fleet = await control.read_fleet()
    grant = await control.claim(workspace, key, digest, incarnation)
    if grant.granted:
        ...  # Run it, or `release_claim` if it surely did not start.
        await control.finish_claim(workspace, key, grant.claim_id, "ok", answer)

All calls find the leader, change over when a control VM is silent or cut off,
and may be repeated within their time: claims carry an identity, changes the
operators' number. A claim is granted to one caller once; everyone else learns
the first claim's state and, when it is finished, its stored answer. Reads are
confirmed by a quorum.

Errors: `ControlUnavailableError` (surely no effect), `OutcomeUnknownError`
(may have taken effect), `ControlOverloadedError` (no effect, with a time to
come back), `CallRefusedError` (no effect; the caller must change something).
Nodes report what they have in force through `state.subscription`.
"""

from __future__ import annotations

import contextlib
import os
import typing

import anyio
import attrs

from cactusstile.control import attempts
from cactusstile.control import circuit
from cactusstile.control import claim_messages
from cactusstile.control import exceptions
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import pool

    _T = typing.TypeVar("_T")

CALL_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 0.8
TRIAL_INTERVAL_S = 0.5
CLAIM_ID_BYTES = 16


@attrs.frozen
class ClaimGrant:
    """Answer to a claim.

    Attributes:
      granted: Whether the caller, and it alone, may run the request now.
      state: State of the key. MISMATCH means that the key was used for a
        request with other content; that caller must choose another key.
      incarnation: Incarnation of the process that claimed it first.
      claim_id: Identity of the first claim; pass it to `finish_claim`.
      outcome: Word given by the process that ran it; empty before the end.
      answer: Stored answer; empty before the end, or if it was dropped.
      answer_kept: Whether `answer` is the whole one that was stored; False
        before the end, and for answers that were too large or too old.
      epoch: Of a read, larger than all epochs that were drawn before it.
    """

    granted: bool
    state: claim_messages.ClaimState
    incarnation: int
    claim_id: bytes
    outcome: str
    answer: bytes
    answer_kept: bool = False
    epoch: int = 0


def to_grant(reply: claim_messages.ClaimReply) -> ClaimGrant:
    """Returns what the answer of the claims group means to its caller."""
    return ClaimGrant(
        reply.granted,
        claim_messages.ClaimState(reply.state),
        reply.incarnation,
        reply.claim_id,
        reply.outcome,
        reply.answer,
        reply.answer_kept,
        reply.epoch,
    )


class ControlClient:
    """Calls the control VMs.

    Attributes:
      addresses: Addresses of the control VMs.
      leader: Address that answered last as leader.
      circuit: Refuses claims and their reads at once while control is lost.
    """

    def __init__(
        self,
        connections: pool.Pool,
        addresses: collections.abc.Sequence[address.Address],
        *,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        """Calls over `connections`; there is at least one address."""
        self.addresses = tuple(addresses)
        self.leader = self.addresses[0]
        self.attempt_timeout_s = attempt_timeout_s
        self.circuit = circuit.Circuit()
        self._connections = connections

    async def read_revision(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> messages.FleetRevision:
        """Returns the revision in force, confirmed by a quorum."""
        reply = messages.FleetRevision
        return await self.call(messages.ReadRevision(), reply, timeout_s)

    async def read_fleet(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> model.Fleet:
        """Returns the fleet in force, confirmed by a quorum."""
        reply = messages.FeedDelta
        whole = await self.call(messages.ReadFleet(), reply, timeout_s)
        change = delta.unpack(whole.body)
        fleet, _ = delta.apply_delta(model.Fleet(), 0, change, whole.revision)
        return fleet

    async def claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        incarnation: int,
        *,
        claim_id: bytes = b"",
        epoch: int = 0,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Claims the one run of a request; see `ClaimGrant`.

        After `OutcomeUnknownError` the caller must not run the request; it
        may release the `claim_id` that it chose. Without one a random
        identity is drawn.
        """
        claim_id = claim_id or os.urandom(CLAIM_ID_BYTES)
        message = claim_messages.Claim(
            workspace,
            request_key,
            content_digest,
            incarnation,
            claim_id,
            epoch,
        )
        self._check_circuit()
        return await self._ask_claim(message, timeout_s)

    async def read_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Returns the state of a key and claims nothing."""
        message = claim_messages.ReadClaim(
            workspace, request_key, content_digest
        )
        self._check_circuit()
        return await self._ask_claim(message, timeout_s)

    async def finish_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        outcome: str,
        answer: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Stores outcome and answer of a run; the first ones stay."""
        message = claim_messages.FinishClaim(
            workspace, request_key, claim_id, outcome, answer
        )
        return await self._ask_claim(message, timeout_s)

    async def close_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Closes a key to all attempts whose epoch was drawn before.

        Returns:
          The state of the key: CLOSED means that none of them ran or will
          run; RUNNING and FINISHED are those of the first claim.
        """
        message = claim_messages.CloseClaim(
            workspace, request_key, content_digest
        )
        self._check_circuit()
        return await self._ask_claim(message, timeout_s)

    async def release_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Gives back a claim whose run surely never started.

        The key may then be claimed anew.
        """
        message = claim_messages.ReleaseClaim(workspace, request_key, claim_id)
        return await self._ask_claim(message, timeout_s)

    async def take_fence(
        self, target: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Returns a fencing number above all that were taken before."""
        message = messages.TakeFence(target, os.urandom(CLAIM_ID_BYTES))
        reply = await self.call(message, messages.FenceNumber, timeout_s)
        return reply.number

    async def read_fence(
        self, target: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Returns the highest fencing number taken; 0 if there is none."""
        message = messages.ReadFence(target)
        reply = await self.call(message, messages.FenceNumber, timeout_s)
        return reply.number

    async def apply(
        self,
        base: model.Fleet,
        fleet: model.Fleet,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> messages.ApplyReply:
        """Asks to replace `base` by `fleet`; operators only."""
        message = messages.ApplyChange(
            fleet.revision,
            base.revision,
            encoding.digest_bytes(encoding.content_digest(fleet)),
            delta.pack(delta.diff(base, fleet)),
        )
        return await self.call(message, messages.ApplyReply, timeout_s)

    async def read_history(
        self, count: int, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[messages.ChangeRecord, ...]:
        """Returns the last accepted changes, the oldest first."""
        message = messages.ReadHistory(count)
        reply = await self.call(message, messages.History, timeout_s)
        return reply.records

    async def _ask_claim(self, message: object, timeout_s: float) -> ClaimGrant:
        reply = await self.call(message, claim_messages.ClaimReply, timeout_s)
        return to_grant(reply)

    async def watch_circuit(self) -> None:
        """Lets claims fail at once while control is lost; never returns.

        Only this task tries control then, by reading a claim that nobody
        makes.
        """
        self.circuit.is_watched = True
        message = claim_messages.ReadClaim("", "", b"")
        while True:
            await self.circuit.opened.wait()
            with contextlib.suppress(exceptions.ControlError):
                await self._ask_claim(message, CALL_TIMEOUT_S)
            await anyio.sleep(TRIAL_INTERVAL_S)

    def _check_circuit(self) -> None:
        """Raises at once while control is lost; nothing was sent."""
        if self.circuit.opened.is_set():
            raise exceptions.ControlUnavailableError(
                "no leader of control answers at present; retry later"
            )

    async def call(
        self, message: object, reply: type[_T], timeout_s: float
    ) -> _T:
        """Returns the leader's answer to an idempotent call.

        Raises:
          ControlUnavailableError: No effect; no leader answered in time.
          OutcomeUnknownError: No answer in time; it may have taken effect.
          ControlOverloadedError: No effect.
          CallRefusedError: No effect.
        """
        deadline_s = anyio.current_time() + timeout_s
        tries = attempts.Attempts(self.addresses, self.leader)
        while True:
            left_s = deadline_s - anyio.current_time()
            if left_s <= 0:
                self.circuit.record_failure()
                tries.give_up(timeout_s)
            target = tries.next_address()
            limit_s = min(left_s, self.attempt_timeout_s)
            try:
                answer = await self._connections.call(
                    target, message, timeout_s=limit_s
                )
            except (transport_exceptions.TransportError, TimeoutError) as error:
                if attempts.is_from_leader(error):
                    self.circuit.record_success()
                tries.record(error)
                await anyio.sleep(tries.pause_s())
                continue
            self.leader = target
            self.circuit.record_success()
            if not isinstance(answer, reply):
                raise transport_exceptions.ProtocolError(
                    f"expected {reply.__name__}, got {type(answer).__name__}"
                )
            return answer
