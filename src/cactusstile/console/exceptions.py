"""Errors and exit codes of commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the command line, part of its public interface."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    ADDRESS_IN_USE = 4
    REFUSED = 5
    UNREACHABLE = 6
    INCOMPLETE = 7


class CommandError(Exception):
    """Raised when a command fails; reported without a traceback.

    Attributes:
      exit_code: Exit code of the process.
    """

    def __init__(
        self, message: str, exit_code: ExitCode = ExitCode.FAILED
    ) -> None:
        """Stores the exit code; `message` says what failed and what to do."""
        super().__init__(message)
        self.exit_code = exit_code


class NoAnswerError(Exception):
    """Raised when a process gave no answer, or none that is complete."""
