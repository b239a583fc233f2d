"""Errors of the replicated log."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base of all errors of this package."""


class NotLeaderError(ConsensusError):
    """Raised when this replica does not lead; nothing was proposed.

    Attributes:
      leader_address: Address of the leader; empty while none is known.
    """

    def __init__(self, leader_address: str = "") -> None:
        """Names the leader that the caller should ask instead."""
        hint = f"ask {leader_address}" if leader_address else "retry later"
        super().__init__(f"this replica is not the leader; {hint}")
        self.leader_address = leader_address


class UncertainError(ConsensusError):
    """Raised when a proposal may or may not be committed later."""


class OverloadedError(ConsensusError):
    """Raised when the queue is full; nothing was proposed.

    Attributes:
      retry_after_s: Seconds after which a retry is sensible.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Stores the time after which a retry is sensible."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class TooLargeError(ConsensusError):
    """Raised when a command exceeds the limit; nothing was proposed."""


class MembershipError(ConsensusError):
    """Raised when a membership change is refused; says what to do."""


class NotMemberError(MembershipError):
    """Raised when the replica that a change names is no member."""


class StorageError(ConsensusError):
    """Raised when durable state cannot be written; the replica must stop."""


class CorruptStorageError(StorageError):
    """Raised when durable state is damaged; the replica must not start."""


class FolderLockedError(StorageError):
    """Raised when another process uses the data folder."""
