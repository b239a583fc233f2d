"""Client of the control VMs, used by entries, agents and the console.

    control = client.ControlClient(pool, addresses)
    fleet = await control.read_fleet()
    grant = await control.claim(workspace, key, digest, incarnation)
    if grant.granted:
        ...  # Run it, or call `release_claim` if the run did not start.
        await control.finish_claim(workspace, key, grant.claim_id, "ok", answer)

Each call finds the leader, fails over when a control VM is unresponsive or
partitioned, and is retried until its timeout. Retries are safe because calls
are idempotent: claims carry an identity and changes a revision number. A claim
is granted to one caller once; all other callers receive the state of the first
claim and, once it has finished, the stored answer. Reads are confirmed by a
quorum.

Errors: `ControlUnavailableError` (no effect), `OutcomeUnknownError` (may have
taken effect), `ControlOverloadedError` (no effect, with a delay for the retry),
`CallRefusedError` (no effect; the same call would be refused again). Nodes
report the revision that they have in force through `state.subscription`.
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
PROBE_INTERVAL_S = 0.5
CLAIM_ID_BYTES = 16


@attrs.frozen
class ClaimGrant:
    """Reply to a call about a claim.

    Attributes:
      granted: Whether the caller, and no other, may run the request now.
      state: State of the key. MISMATCH means that the key was used for a
        request with other content; the caller must choose another key.
      incarnation: Incarnation of the process that claimed the key first.
      claim_id: Identity of the first claim; pass it to `finish_claim`.
      outcome: Outcome reported by the process that ran the request; empty
        before the end.
      answer: Stored answer; empty before the end, or if it was dropped.
      answer_kept: Whether `answer` is the complete stored answer; False
        before the end, and for answers that were too large or too old.
      epoch: For a read, larger than all epochs drawn before it; otherwise 0.
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
    """Converts a reply of the claims group."""
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
    """Calls the leader of the control VMs.

    Attributes:
      addresses: Addresses of the control VMs.
      leader: Address of the control VM that last answered as leader.
      attempt_timeout_s: Timeout of one attempt, in seconds.
      circuit: Fails claims and reads of claims fast while no leader answers.
    """

    def __init__(
        self,
        connections: pool.Pool,
        addresses: collections.abc.Sequence[address.Address],
        *,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        """Stores the connections; `addresses` must not be empty."""
        self.addresses = tuple(addresses)
        self.leader = self.addresses[0]
        self.attempt_timeout_s = attempt_timeout_s
        self.circuit = circuit.CircuitBreaker()
        self._connections = connections

    async def read_revision(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> messages.FleetRevision:
        """Returns the revision in force, confirmed by a quorum."""
        reply_type = messages.FleetRevision
        return await self.call(messages.ReadRevision(), reply_type, timeout_s)

    async def read_fleet(
        self, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> model.Fleet:
        """Returns the fleet in force, confirmed by a quorum."""
        reply_type = messages.FeedDelta
        whole = await self.call(messages.ReadFleet(), reply_type, timeout_s)
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
        """Claims the right to run a request; see `ClaimGrant`.

        After `OutcomeUnknownError` the caller must not run the request, but
        may release the claim by its `claim_id`. If `claim_id` is empty, a
        random identity is generated.
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
        return await self._call_claims(message, timeout_s)

    async def read_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Returns the state of a key without claiming it."""
        message = claim_messages.ReadClaim(
            workspace, request_key, content_digest
        )
        self._check_circuit()
        return await self._call_claims(message, timeout_s)

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
        """Stores outcome and answer of a run; only the first call counts."""
        message = claim_messages.FinishClaim(
            workspace, request_key, claim_id, outcome, answer
        )
        return await self._call_claims(message, timeout_s)

    async def close_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Closes a key to all attempts whose epoch was drawn before the call.

        Returns:
          The state of the key. CLOSED means that none of these attempts ran
          or will run; RUNNING and FINISHED describe the first claim.
        """
        message = claim_messages.CloseClaim(
            workspace, request_key, content_digest
        )
        self._check_circuit()
        return await self._call_claims(message, timeout_s)

    async def release_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Releases a claim whose run never started.

        The key may then be claimed again, with another `claim_id`.
        """
        message = claim_messages.ReleaseClaim(workspace, request_key, claim_id)
        return await self._call_claims(message, timeout_s)

    async def take_fence(
        self, target: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Returns a fencing number above all taken before for `target`."""
        message = messages.TakeFence(target, os.urandom(CLAIM_ID_BYTES))
        reply = await self.call(message, messages.FenceNumber, timeout_s)
        return reply.number

    async def read_fence(
        self, target: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Returns the last fencing number taken for `target`; 0 if none."""
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
        """Replaces `base` with `fleet`; allowed to operators only."""
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
        """Returns up to `count` of the last accepted changes, oldest first."""
        message = messages.ReadHistory(count)
        reply = await self.call(message, messages.History, timeout_s)
        return reply.records

    async def _call_claims(
        self, message: object, timeout_s: float
    ) -> ClaimGrant:
        reply = await self.call(message, claim_messages.ClaimReply, timeout_s)
        return to_grant(reply)

    async def probe_while_open(self) -> None:
        """Probes control while the circuit is open; never returns.

        While this task runs, claims fail fast if no leader answers, and only
        this task calls control then. The probe reads a claim with empty names,
        which no caller can make.
        """
        self.circuit.has_probe = True
        message = claim_messages.ReadClaim("", "", b"")
        while True:
            await self.circuit.opened.wait()
            with contextlib.suppress(exceptions.ControlError):
                await self._call_claims(message, CALL_TIMEOUT_S)
            await anyio.sleep(PROBE_INTERVAL_S)

    def _check_circuit(self) -> None:
        """Raises without sending anything while the circuit is open."""
        if self.circuit.opened.is_set():
            raise exceptions.ControlUnavailableError(
                "no leader of control answers at present; retry later"
            )

    async def call(
        self, message: object, reply_type: type[_T], timeout_s: float
    ) -> _T:
        """Returns the leader's reply to an idempotent call.

        Raises:
          ControlUnavailableError: No effect; no leader answered in time.
          OutcomeUnknownError: The call may have taken effect; no leader
            confirmed or refused it in time.
          ControlOverloadedError: No effect; the leader is overloaded.
          CallRefusedError: No effect; the leader refused the call.
        """
        deadline_s = anyio.current_time() + timeout_s
        call_attempts = attempts.CallAttempts(self.addresses, self.leader)
        while True:
            remaining_s = deadline_s - anyio.current_time()
            if remaining_s <= 0:
                self.circuit.record_failure()
                call_attempts.raise_timeout(timeout_s)
            control_address = call_attempts.next_address()
            call_timeout_s = min(remaining_s, self.attempt_timeout_s)
            try:
                answer = await self._connections.call(
                    control_address, message, timeout_s=call_timeout_s
                )
            except (transport_exceptions.TransportError, TimeoutError) as error:
                if attempts.is_from_leader(error):
                    self.circuit.record_success()
                call_attempts.record_failure(error)
                await anyio.sleep(call_attempts.retry_delay_s())
                continue
            self.leader = control_address
            self.circuit.record_success()
            if not isinstance(answer, reply_type):
                raise transport_exceptions.ProtocolError(
                    f"expected {reply_type.__name__}, "
                    f"got {type(answer).__name__}"
                )
            return answer
