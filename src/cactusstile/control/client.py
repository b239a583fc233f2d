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

import os
import typing

import anyio
import attrs

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
RETRY_INTERVAL_S = 0.05
CLAIM_ID_BYTES = 16

NOT_LEADER = "not_leader"
UNCERTAIN = "uncertain"
OVERLOADED = "overloaded"
UNAVAILABLE = "unavailable"
NOT_MEMBER = "not_member"


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
    """

    granted: bool
    state: claim_messages.ClaimState
    incarnation: int
    claim_id: bytes
    outcome: str
    answer: bytes
    answer_kept: bool = False


class ControlClient:
    """Calls the control VMs.

    Attributes:
      addresses: Addresses of the control VMs.
      leader: Address that answered last as leader.
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
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ClaimGrant:
        """Claims the one run of a request; see `ClaimGrant`.

        After `OutcomeUnknownError` the caller must not run the request; it
        may release the `claim_id` that it chose. Without one a random
        identity is drawn.
        """
        claim_id = claim_id or os.urandom(CLAIM_ID_BYTES)
        message = claim_messages.Claim(
            workspace, request_key, content_digest, incarnation, claim_id
        )
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
        """Closes a key, so that the request never runs.

        Returns:
          The state of the key: CLOSED means that nobody ran it and nobody
          ever will; RUNNING and FINISHED are those of the first claim.
        """
        message = claim_messages.CloseClaim(
            workspace, request_key, content_digest
        )
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
            delta.pack(delta.between(base, fleet)),
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
        return ClaimGrant(
            reply.granted,
            claim_messages.ClaimState(reply.state),
            reply.incarnation,
            reply.claim_id,
            reply.outcome,
            reply.answer,
            reply.answer_kept,
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
        attempts = _Attempts(self.addresses, self.leader)
        while True:
            left_s = deadline_s - anyio.current_time()
            if left_s <= 0:
                attempts.give_up(timeout_s)
            target = attempts.next_address()
            limit_s = min(left_s, self.attempt_timeout_s)
            try:
                answer = await self._connections.call(
                    target, message, timeout_s=limit_s
                )
            except (transport_exceptions.TransportError, TimeoutError) as error:
                attempts.record(error)
                await anyio.sleep(attempts.pause_s())
                continue
            self.leader = target
            if not isinstance(answer, reply):
                raise transport_exceptions.ProtocolError(
                    f"expected {reply.__name__}, got {type(answer).__name__}"
                )
            return answer


class _Attempts:
    """Chooses the next address and keeps what the failed attempts mean."""

    def __init__(
        self,
        addresses: collections.abc.Sequence[address.Address],
        leader: address.Address,
    ) -> None:
        """Tries `leader` first, then the addresses in turn."""
        self.uncertain = False
        self.last_error: Exception | None = None
        self._addresses = addresses
        self._hint: address.Address | None = leader
        self._position = 0
        self._count = 0

    def next_address(self) -> address.Address:
        """Returns the hinted leader, or else the next address in turn."""
        hint, self._hint = self._hint, None
        if hint is not None:
            return hint
        chosen = self._addresses[self._position % len(self._addresses)]
        self._position += 1
        return chosen

    def record(self, error: Exception) -> None:
        """Notes a failed attempt; raises if another one would not help."""
        self._count += 1
        self.last_error = error
        if isinstance(error, transport_exceptions.RemoteError):
            self._record_answer(error)
        elif isinstance(error, transport_exceptions.ConnectionLostError):
            self.uncertain = self.uncertain or error.sent

    def _record_answer(self, error: transport_exceptions.RemoteError) -> None:
        if error.code == NOT_LEADER:
            if error.detail:
                self._hint = address.parse(error.detail)
            return
        if error.code in (UNCERTAIN, "internal"):
            self.uncertain = True
            return
        if error.code == UNAVAILABLE:
            return
        if self.uncertain:
            raise exceptions.OutcomeUnknownError(str(error)) from error
        if error.code == OVERLOADED:
            retry_after_s = float(error.detail or RETRY_INTERVAL_S)
            raise exceptions.ControlOverloadedError(
                error.message, retry_after_s
            ) from error
        raise exceptions.CallRefusedError(error.code, error.message) from error

    def pause_s(self) -> float:
        """Returns the time to wait before the next attempt."""
        if self._hint is not None and self._count == 1:
            return 0.0
        return RETRY_INTERVAL_S

    def give_up(self, timeout_s: float) -> typing.NoReturn:
        """Raises the error that says whether the call may have worked."""
        text = f"no answer from control within {timeout_s:g} s"
        if self.last_error is not None:
            text += f"; last attempt: {self.last_error}"
        if self.uncertain:
            raise exceptions.OutcomeUnknownError(text)
        raise exceptions.ControlUnavailableError(text)
