"""Claims: a request that may not be repeated runs at most once.

The right to run is a synced quorum write that is granted once. The claim is
made immediately before the run; when too much time passed since, because this
process was frozen, the claim is confirmed again before any byte leaves.
"""

from __future__ import annotations

import logging
import os
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.control import claim_messages
from cactusstile.control import client
from cactusstile.control import exceptions

logger = logging.getLogger(__name__)

SEND_LIMIT_S = 1.0
CLAIM_TIMEOUT_S = 3.0
FINISH_TIMEOUT_S = 30.0
RELEASE_ATTEMPTS = 5
RELEASE_INTERVAL_S = 1.0
MAX_ANSWER_BYTES = 256 * 1024
RETRY_AFTER_S = 1.0

OUTCOME_DONE = "done"
OUTCOME_LOST = "lost"


class ClaimControl(typing.Protocol):
    """Part of `control.client.ControlClient` that claims need."""

    async def claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        incarnation: int,
        *,
        claim_id: bytes = ...,
        epoch: int = ...,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Claims a request's one run."""

    async def read_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Returns a key's state."""

    async def finish_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        outcome: str,
        answer: bytes,
        *,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Stores outcome and answer."""

    async def release_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        *,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Gives back a claim that did not start."""


@attrs.frozen
class Key:
    """Identity of a request that is claimed.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within it.
      digest: Digest of the request's content.
      epoch: Epoch drawn when the attempt arrived; 0 if none was.
    """

    workspace: str
    request_key: str
    digest: bytes
    epoch: int = 0


@attrs.define
class HeldClaim:
    """A claim that was granted to this process.

    Attributes:
      key: What is claimed.
      claim_id: Identity of the claim.
      confirmed_s: Time before which it was surely held.
    """

    key: Key
    claim_id: bytes
    confirmed_s: float


@attrs.frozen
class StoredAnswer:
    """Answer of a run that was claimed before and is over."""

    answer: bytes


class Claimer:
    """Makes and settles the claims of one agent."""

    def __init__(
        self,
        control: ClaimControl,
        incarnation: int,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Claims as process `incarnation`; retries run in `group`."""
        self._control = control
        self._incarnation = incarnation
        self._group = group

    async def claim(self, key: Key) -> HeldClaim | StoredAnswer:
        """Claims the run of a request.

        Raises:
          RefusedError: If this process must not run it.
        """
        asked_s = anyio.current_time()
        claim_id = os.urandom(client.CLAIM_ID_BYTES)
        try:
            grant = await self._control.claim(
                key.workspace,
                key.request_key,
                key.digest,
                self._incarnation,
                claim_id=claim_id,
                epoch=key.epoch,
                timeout_s=CLAIM_TIMEOUT_S,
            )
        except exceptions.OutcomeUnknownError as error:
            self._group.start_soon(self._release, key, claim_id)
            raise _unavailable("the claim's answer was lost") from error
        except exceptions.ControlError as error:
            raise _unavailable(str(error)) from error
        if grant.granted:
            return HeldClaim(key, claim_id, asked_s)
        return _read_foreign(grant)

    async def confirm(self, held: HeldClaim) -> None:
        """Returns if the run may start now; call it right before.

        Raises:
          RefusedError: If the claim is no longer held; the request was not
            run.
        """
        while anyio.current_time() - held.confirmed_s > SEND_LIMIT_S:
            asked_s = anyio.current_time()
            key = held.key
            try:
                found = await self._control.read_claim(
                    key.workspace,
                    key.request_key,
                    key.digest,
                    timeout_s=CLAIM_TIMEOUT_S,
                )
            except exceptions.ControlError as error:
                self.release(held)
                raise _unavailable(str(error)) from error
            if (
                found.state is not claim_messages.ClaimState.RUNNING
                or found.claim_id != held.claim_id
            ):
                raise verdict.refuse(
                    verdict.Reason.DUPLICATE,
                    "the claim was lost before the run; retry",
                    retry_after_s=RETRY_AFTER_S,
                )
            held.confirmed_s = asked_s

    def release(self, held: HeldClaim) -> None:
        """Gives back a claim whose run surely did not start."""
        self._group.start_soon(self._release, held.key, held.claim_id)

    async def finish(
        self, held: HeldClaim, outcome: str, answer: bytes
    ) -> None:
        """Stores the outcome of a run; errors are logged.

        Without the stored outcome later callers learn that the request may
        have run, which is true.
        """
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else b""
        key = held.key
        try:
            await self._control.finish_claim(
                key.workspace,
                key.request_key,
                held.claim_id,
                outcome,
                kept,
                timeout_s=FINISH_TIMEOUT_S,
            )
        except exceptions.ControlError as error:
            logger.warning("outcome of a claimed run was not kept: %s", error)

    async def _release(self, key: Key, claim_id: bytes) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._control.release_claim(
                    key.workspace, key.request_key, claim_id
                )
            except exceptions.ControlError:
                await anyio.sleep(RELEASE_INTERVAL_S)
                continue
            return


def _unavailable(cause: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.CONTROL_UNAVAILABLE,
        f"the run could not be claimed and did not start: {cause}",
        retry_after_s=RETRY_AFTER_S,
    )


def _read_foreign(grant: client.ClaimGrant) -> StoredAnswer:
    """Returns the stored answer of a run that was claimed before.

    Raises:
      RefusedError: If there is none.
    """
    if grant.state is claim_messages.ClaimState.MISMATCH:
        raise verdict.refuse(
            verdict.Reason.BAD_REQUEST,
            "the key was used for another request; choose a new one",
        )
    if grant.state is claim_messages.ClaimState.CLOSED:
        raise verdict.refuse(
            verdict.Reason.DUPLICATE,
            "a later attempt was told that the request was not run; retry",
            retry_after_s=RETRY_AFTER_S,
        )
    if grant.state is claim_messages.ClaimState.RUNNING:
        raise verdict.refuse(
            verdict.Reason.DUPLICATE,
            "the request was started before and its end is not known; ask "
            "again with the same key",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
            retry_after_s=RETRY_AFTER_S,
        )
    if grant.outcome != OUTCOME_DONE:
        raise verdict.refuse(
            verdict.Reason.TARGET_LOST,
            "the request was started before and its answer was lost",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
        )
    if not grant.answer:
        raise verdict.refuse(
            verdict.Reason.DUPLICATE,
            "the request has run before; its answer is no longer kept",
            verdict=verdict.Verdict.HAS_RUN,
        )
    return StoredAnswer(grant.answer)
