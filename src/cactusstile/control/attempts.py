"""Attempts of one call to control: whom to ask next, what failures mean."""

from __future__ import annotations

import typing

from cactusstile.control import exceptions
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

RETRY_INTERVAL_S = 0.05

NOT_LEADER = "not_leader"
UNCERTAIN = "uncertain"
OVERLOADED = "overloaded"
UNAVAILABLE = "unavailable"
NOT_MEMBER = "not_member"
INTERNAL = "internal"
_WITHOUT_LEADER = frozenset({NOT_LEADER, UNCERTAIN, UNAVAILABLE, INTERNAL})


def is_from_leader(error: Exception) -> bool:
    """Returns whether an attempt failed by an answer of the leader."""
    if not isinstance(error, transport_exceptions.RemoteError):
        return False
    return error.code not in _WITHOUT_LEADER


class Attempts:
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
        if error.code in (UNCERTAIN, INTERNAL):
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
