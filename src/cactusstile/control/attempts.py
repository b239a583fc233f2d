"""Retry state of one call to control: next address and meaning of failures."""

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
_CODES_WITHOUT_LEADER = frozenset(
    {NOT_LEADER, UNCERTAIN, UNAVAILABLE, INTERNAL}
)


def is_from_leader(error: Exception) -> bool:
    """Returns whether `error` is an error reply sent by the leader."""
    if not isinstance(error, transport_exceptions.RemoteError):
        return False
    return error.code not in _CODES_WITHOUT_LEADER


class CallAttempts:
    """Chooses the address of each attempt and classifies failed attempts.

    Attributes:
      may_have_taken_effect: Whether a failed attempt may have taken effect,
        now or later.
      last_error: Error of the last failed attempt; None before the first.
    """

    def __init__(
        self,
        addresses: collections.abc.Sequence[address.Address],
        leader: address.Address,
    ) -> None:
        """Starts with `leader`, then tries `addresses` in turn."""
        self.may_have_taken_effect = False
        self.last_error: Exception | None = None
        self._addresses = addresses
        self._leader_hint: address.Address | None = leader
        self._next_position = 0
        self._failures = 0

    def next_address(self) -> address.Address:
        """Returns the address of the assumed leader, or the next in turn."""
        hint, self._leader_hint = self._leader_hint, None
        if hint is not None:
            return hint
        address_in_turn = self._addresses[
            self._next_position % len(self._addresses)
        ]
        self._next_position += 1
        return address_in_turn

    def record_failure(self, error: Exception) -> None:
        """Records a failed attempt; raises if a retry cannot succeed.

        Raises:
          OutcomeUnknownError: The leader refused the call, but an earlier
            attempt may have taken effect.
          ControlOverloadedError: No effect; the leader is overloaded.
          CallRefusedError: No effect; the leader refused the call.
        """
        self._failures += 1
        self.last_error = error
        if isinstance(error, transport_exceptions.RemoteError):
            self._record_remote_error(error)
        elif isinstance(error, transport_exceptions.ConnectionLostError):
            self.may_have_taken_effect = (
                self.may_have_taken_effect or error.sent
            )

    def _record_remote_error(
        self, error: transport_exceptions.RemoteError
    ) -> None:
        if error.code == NOT_LEADER:
            if error.detail:
                self._leader_hint = address.parse(error.detail)
            return
        if error.code in (UNCERTAIN, INTERNAL):
            self.may_have_taken_effect = True
            return
        if error.code == UNAVAILABLE:
            return
        if self.may_have_taken_effect:
            raise exceptions.OutcomeUnknownError(str(error)) from error
        if error.code == OVERLOADED:
            retry_after_s = float(error.detail or RETRY_INTERVAL_S)
            raise exceptions.ControlOverloadedError(
                error.message, retry_after_s
            ) from error
        raise exceptions.CallRefusedError(error.code, error.message) from error

    def retry_delay_s(self) -> float:
        """Returns the delay before the next attempt, in seconds.

        The first redirect to a leader is followed without delay.
        """
        if self._leader_hint is not None and self._failures == 1:
            return 0.0
        return RETRY_INTERVAL_S

    def raise_timeout(self, timeout_s: float) -> typing.NoReturn:
        """Raises the error of a call that timed out.

        Raises:
          OutcomeUnknownError: An attempt may have taken effect.
          ControlUnavailableError: No attempt had an effect.
        """
        text = f"no answer from control within {timeout_s:g} s"
        if self.last_error is not None:
            text += f"; last attempt: {self.last_error}"
        if self.may_have_taken_effect:
            raise exceptions.OutcomeUnknownError(text)
        raise exceptions.ControlUnavailableError(text)
