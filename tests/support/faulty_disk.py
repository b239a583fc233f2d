"""Runs `cactusstile` with a data folder whose disk follows a file.

The file named by FAULTY_DISK holds the name of an error that each write and
sync raises, or the seconds that each sync takes.
"""

from __future__ import annotations

import errno
import os
import pathlib
import time
import typing

from cactusstile.consensus.storage import files
from cactusstile.console import application

VARIABLE = "FAULTY_DISK"


class FaultyOs:
    """The module `os` as the storage sees it."""

    def __init__(self, control: pathlib.Path) -> None:
        """Reads the fault from `control` at each call."""
        self.control = control

    def __getattr__(self, name: str) -> typing.Any:
        """Passes on what has no fault."""
        return getattr(os, name)

    def _fail(self) -> str:
        fault = self.control.read_text()
        if fault.startswith("E"):
            raise OSError(getattr(errno, fault), fault)
        return fault

    def write(self, descriptor: int, data: memoryview) -> int:
        """Writes to a file unless the disk refuses it."""
        self._fail()
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Syncs a file unless the disk refuses it."""
        time.sleep(float(self._fail() or 0))
        os.fsync(descriptor)


def main() -> None:
    """Runs the command line."""
    control = pathlib.Path(os.environ[VARIABLE])
    vars(files)["os"] = FaultyOs(control)
    application.main()


if __name__ == "__main__":
    main()
