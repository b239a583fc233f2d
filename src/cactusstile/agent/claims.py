"""Claims, which ensure that a non-repeatable request runs at most once.

A claim is the exclusive right to run a request. Control grants it once, as a
synced quorum write. The agent makes the claim immediately before the run. If
too much time has passed since, for example because the process was suspended,
the agent confirms the claim again before it sends any byte.
"""

from __future__ import annotations

import logging
import os
import typing

import anyio
import attrs

from cactusstile import guards
from cactusstile import verdict
from cactusstile.control import claim_messages
from cactusstile.control import client
from cactusstile.control import exceptions

logger = logging.getLogger(__name__)

MAX_CONFIRMATION_AGE_S = 1.0
CLAIM_TIMEOUT_S = 3.0
FINISH_TIMEOUT_S = 30.0
RELEASE_ATTEMPTS = 5
RELEASE_INTERVAL_S = 1.0
MAX_ANSWER_BYTES = 256 * 1024
RETRY_AFTER_S = 1.0

OUTCOME_DONE = "done"
OUTCOME_LOST = "lost"


class ClaimControl(typing.Protocol):
    """Subset of `control.client.ControlClient` that claims require."""

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
        """Claims the right to run a request."""

    async def read_claim(
        self,
        workspace: str,
        request_key: str,
        content_digest: bytes,
        *,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Returns the state of a claim without changing it."""

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
        """Stores the outcome and the answer of a claimed run."""

    async def release_claim(
        self,
        workspace: str,
        request_key: str,
        claim_id: bytes,
        *,
        timeout_s: float = ...,
    ) -> client.ClaimGrant:
        """Releases a claim whose run did not start."""


@attrs.frozen
class ClaimKey:
    """Identity of a claimed request.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within the workspace.
      digest: Digest of the request's content.
      epoch: Epoch drawn when the attempt arrived; 0 for none.
    """

    workspace: str
    request_key: str
    digest: bytes
    epoch: int = 0


@attrs.define
class HeldClaim:
    """A claim that was granted to this process.

    Attributes:
      key: Identity of the claimed request.
      claim_id: Identity of the claim.
      confirmed_s: Time on the event loop's clock at which the last successful
        claim or confirmation was requested.
    """

    key: ClaimKey
    claim_id: bytes
    confirmed_s: float


@attrs.frozen
class StoredAnswer:
    """Stored answer of an earlier claimed run that has completed."""

    answer: bytes


class Claimer:
    """Makes, confirms and completes the claims of one agent."""

    def __init__(
        self,
        control: ClaimControl,
        incarnation: int,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Claims as process `incarnation`; releases run in `group`."""
        self._control = control
        self._incarnation = incarnation
        self._group = group
        self._guard = guards.Guard("releases of claims")

    async def claim(self, key: ClaimKey) -> HeldClaim | StoredAnswer:
        """Claims the right to run a request.

        Returns:
          The claim, or the stored answer if the request has run before.

        Raises:
          RefusedError: If this process must not run it.
        """
        requested_s = anyio.current_time()
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
            self._group.start_soon(
                self._guard.run, self._release, key, claim_id
            )
            raise _claim_unavailable("the claim's answer was lost") from error
        except exceptions.ControlError as error:
            raise _claim_unavailable(str(error)) from error
        if grant.granted:
            return HeldClaim(key, claim_id, requested_s)
        return _read_earlier_run(grant)

    async def confirm(self, claim: HeldClaim) -> None:
        """Confirms a claim; to be called immediately before the run.

        Raises:
          RefusedError: If the claim is no longer held or cannot be confirmed;
            the request was not run.
        """
        while anyio.current_time() - claim.confirmed_s > MAX_CONFIRMATION_AGE_S:
            requested_s = anyio.current_time()
            key = claim.key
            try:
                grant = await self._control.read_claim(
                    key.workspace,
                    key.request_key,
                    key.digest,
                    timeout_s=CLAIM_TIMEOUT_S,
                )
            except exceptions.ControlError as error:
                self.release(claim)
                raise _claim_unavailable(str(error)) from error
            if (
                grant.state is not claim_messages.ClaimState.RUNNING
                or grant.claim_id != claim.claim_id
            ):
                raise verdict.refuse(
                    verdict.Reason.DUPLICATE,
                    "the claim was lost before the run; retry",
                    retry_after_s=RETRY_AFTER_S,
                )
            claim.confirmed_s = requested_s

    def release(self, claim: HeldClaim) -> None:
        """Releases a claim whose run certainly did not start."""
        self._group.start_soon(
            self._guard.run, self._release, claim.key, claim.claim_id
        )

    async def finish(
        self, claim: HeldClaim, outcome: str, answer: bytes
    ) -> None:
        """Stores the outcome of a run; failures are logged.

        If the outcome cannot be stored, later callers receive "may have run",
        which is correct.
        """
        stored_answer = answer if len(answer) <= MAX_ANSWER_BYTES else b""
        key = claim.key
        try:
            await self._control.finish_claim(
                key.workspace,
                key.request_key,
                claim.claim_id,
                outcome,
                stored_answer,
                timeout_s=FINISH_TIMEOUT_S,
            )
        except exceptions.ControlError as error:
            logger.warning(
                "could not store the outcome of a claimed run: %s", error
            )

    async def _release(self, key: ClaimKey, claim_id: bytes) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._control.release_claim(
                    key.workspace, key.request_key, claim_id
                )
            except exceptions.ControlError:
                await anyio.sleep(RELEASE_INTERVAL_S)
                continue
            return


def _claim_unavailable(cause: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.CONTROL_UNAVAILABLE,
        f"the run could not be claimed and did not start: {cause}",
        retry_after_s=RETRY_AFTER_S,
    )


def _read_earlier_run(grant: client.ClaimGrant) -> StoredAnswer:
    """Returns the stored answer of an earlier claimed run.

    Raises:
      RefusedError: If no answer is stored.
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
