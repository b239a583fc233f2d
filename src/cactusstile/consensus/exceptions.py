"""Errors of the replicated log."""

from __future__ import annotations


class ConsensusError(Exception):
    """Base class of all errors of this package."""


class NotLeaderError(ConsensusError):
    """Raised when this replica is not the leader; nothing was proposed.

    Attributes:
      leader_address: Address of the leader; empty if unknown.
    """

    def __init__(self, leader_address: str = "") -> None:
        """Stores the address of the leader that the caller should ask."""
        hint = f"ask {leader_address}" if leader_address else "retry later"
        super().__init__(f"this replica is not the leader; {hint}")
        self.leader_address = leader_address


class UncertainError(ConsensusError):
    """Raised when a proposal may have been, or may yet be, committed."""


class OverloadedError(ConsensusError):
    """Raised when the queue is full; nothing was proposed.

    Attributes:
      retry_after_s: Seconds after which the caller should retry.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Stores the time after which the caller should retry."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class TooLargeError(ConsensusError):
    """Raised when a command exceeds the limit; nothing was proposed."""


class MembershipError(ConsensusError):
    """Raised when a membership change is refused; the text says what to do."""


class NotMemberError(MembershipError):
    """Raised when the replica that a change names is not a member."""


class StorageError(ConsensusError):
    """Raised when durable state cannot be written; the replica must stop."""


class CorruptStorageError(StorageError):
    """Raised when durable state is damaged; the replica must not start."""


class StorageUnavailableError(StorageError):
    """Raised when an access to the data folder failed.

    What was not synced may be lost. The folder may be opened again later.
    """


class FolderLockedError(StorageUnavailableError):
    """Raised when another process is using the data folder."""
