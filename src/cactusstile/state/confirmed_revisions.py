"""Reads the newest revision for decisions that an old copy must not make."""

from __future__ import annotations

import collections.abc
import logging

import anyio
import attrs

from cactusstile.control import exceptions

ReadRevision = collections.abc.Callable[[], collections.abc.Awaitable[int]]

logger = logging.getLogger(__name__)

# Longest wait of a caller for an answer of control.
CONFIRM_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class _Question:
    """A question to control; `revision` is None until it is answered."""

    revision: int | None = None


class ConfirmedRevisions:
    """Asks control for the newest revision, once for all that wait.

    What was received before says nothing about now: the process may have stood
    still while it waited in a buffer.
    """

    def __init__(self, read_revision: ReadRevision) -> None:
        """Asks by `read_revision`, which raises `ControlError`."""
        self._read_revision = read_revision
        self._lock = anyio.Lock()
        self._next = _Question()

    async def read(self) -> int | None:
        """Returns the newest revision at some time after the call.

        Returns:
          None if control does not answer in time.
        """
        question = self._next
        try:
            with anyio.fail_after(CONFIRM_TIMEOUT_S):
                async with self._lock:
                    return await self._ask(question)
        except (exceptions.ControlError, TimeoutError) as error:
            logger.info("the revision cannot be confirmed: %s", error)
            return None

    async def _ask(self, question: _Question) -> int:
        """Returns the answer; asks unless another caller has done so."""
        if question.revision is None:
            if self._next is question:
                # Whoever calls from now on waits for another question.
                self._next = _Question()
            question.revision = await self._read_revision()
        return question.revision
