"""Fake control client that stores claims and fences in memory."""

from __future__ import annotations

import itertools
import os
import typing

import anyio
import attrs

from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import client
from cactusstile.control import commands
from cactusstile.control import exceptions
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc


@attrs.define
class MemoryControl:
    """State of a control group with one replica in memory.

    Attributes:
      call_delay_s: Seconds before each call takes effect.
      claim_answers_to_drop: Number of upcoming claims that take effect while
        the caller receives no answer.
      grant_delay_s: Seconds between a claim's effect and its answer.
      fence_answer_delay_s: Seconds between reading a fence and the answer.
      unavailable: Whether all calls fail without effect.
      fences: Highest fencing number by target.
      claims: State machine of the claims group, the same that control uses.
      epochs: Epochs of attempts, counted as control does.
    """

    call_delay_s: float = 0.0
    claim_answers_to_drop: int = 0
    grant_delay_s: float = 0.0
    fence_answer_delay_s: float = 0.0
    unavailable: bool = False
    fences: dict[str, int] = attrs.field(factory=dict)
    claims: claims.Claims = attrs.field(factory=claims.Claims)
    epochs: collections.abc.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    async def claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        incarnation: int,
        *,
        claim_id: bytes = b"",
        epoch: int = 0,
        timeout_s: float = client.CALL_TIMEOUT_S,
    ) -> client.ClaimGrant:
        """Claims the run of a request; see `client.ControlClient.claim`."""
        await self._simulate_call(timeout_s)
        claim_id = claim_id or os.urandom(client.CLAIM_ID_BYTES)
        grant = self._apply_command(
            claim_messages.Claim(
                workspace,
                request_key,
                content_digest,
                incarnation,
                claim_id,
                epoch,
            )
        )
        await anyio.sleep(self.grant_delay_s)
        if self.claim_answers_to_drop:
            self.claim_answers_to_drop -= 1
            raise exceptions.OutcomeUnknownError(
                "the answer to the claim was lost"
            )
        return grant

    async def read_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = client.CALL_TIMEOUT_S,
    ) -> client.ClaimGrant:
        """Returns the state of a request key."""
        await self._simulate_call(timeout_s)
        message = claim_messages.ReadClaim(
            workspace, request_key, content_digest
        )
        grant = client.to_grant(self.claims.read(message))
        return attrs.evolve(grant, epoch=next(self.epochs))

    async def finish_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        outcome: str,
        answer: bytes,
        *,
        timeout_s: float = client.CALL_TIMEOUT_S,
    ) -> client.ClaimGrant:
        """Stores the outcome and the answer of the claim `claim_id`."""
        await self._simulate_call(timeout_s)
        return self._apply_command(
            claim_messages.FinishClaim(
                workspace, request_key, claim_id, outcome, answer
            )
        )

    async def close_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = client.CALL_TIMEOUT_S,
    ) -> client.ClaimGrant:
        """Closes an unclaimed request key to all attempts made so far."""
        await self._simulate_call(timeout_s)
        return self._apply_command(
            claim_messages.CloseClaim(
                workspace, request_key, content_digest, next(self.epochs)
            )
        )

    async def release_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        *,
        timeout_s: float = client.CALL_TIMEOUT_S,
    ) -> client.ClaimGrant:
        """Releases a claim whose request did not run."""
        await self._simulate_call(timeout_s)
        return self._apply_command(
            claim_messages.ReleaseClaim(workspace, request_key, claim_id)
        )

    async def take_fence(
        self, target: str, *, timeout_s: float = client.CALL_TIMEOUT_S
    ) -> int:
        """Returns a fencing number above all that were issued for a target."""
        await self._simulate_call(timeout_s)
        self.fences[target] = self.fences.get(target, 0) + 1
        return self.fences[target]

    async def read_fence(
        self, target: str, *, timeout_s: float = client.CALL_TIMEOUT_S
    ) -> int:
        """Returns the highest fencing number that was issued for a target."""
        await self._simulate_call(timeout_s)
        highest = self.fences.get(target, 0)
        await anyio.sleep(self.fence_answer_delay_s)
        return highest

    async def _simulate_call(self, timeout_s: float) -> None:
        if self.unavailable or self.call_delay_s > timeout_s:
            raise exceptions.ControlUnavailableError("no quorum")
        await anyio.sleep(self.call_delay_s)

    def _apply_command(self, message: object) -> client.ClaimGrant:
        """Applies a command as if committed and returns the grant."""
        result = self.claims.apply(0, commands.pack(message))
        try:
            reply = commands.unpack_result(result)
        except transport_exceptions.RemoteError as error:
            raise exceptions.CallRefusedError(
                error.code, error.message
            ) from error
        assert isinstance(reply, claim_messages.ClaimReply)  # noqa: S101
        return client.to_grant(reply)
