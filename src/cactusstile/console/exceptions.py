"""Errors that a command reports to its user."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the command line; part of its interface."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    ADDRESS_IN_USE = 4
    REFUSED = 5
    UNREACHABLE = 6
    INCOMPLETE = 7


class CommandError(Exception):
    """Raised by a command that failed; shown without a traceback.

    Attributes:
      exit_code: Exit code of the process.
    """

    def __init__(
        self, message: str, exit_code: ExitCode = ExitCode.FAILED
    ) -> None:
        """Says in `message` what failed and what to do."""
        super().__init__(message)
        self.exit_code = exit_code
