"""Starts single processes by the commands of the deploy file."""

from __future__ import annotations

import os
import pathlib
import socket
import subprocess
import sys
import time
import typing

import attrs
from tests.support import node_site
from tests.support import site_processes

if typing.TYPE_CHECKING:
    import collections.abc

WAIT_TIMEOUT_S = 20.0
# Stands in for a library, and reports the moment at which it is imported.
SHIM = """
import importlib, os, sys
os.write(2, b"importing\\n")
sys.path.remove(os.path.dirname(__file__))
del sys.modules[__name__]
importlib.import_module(__name__)
"""


@attrs.define
class Deployed:
    """One process of a role.

    Attributes:
      folder: Folder of its settings, log and data.
      role: Role; "redirector" for a registry without a disk.
      host: Address of the process.
      shims: Libraries whose import is reported in the log.
      process: Last process that was started.
    """

    folder: pathlib.Path
    role: str
    host: str = attrs.field(factory=site_processes.draw_host)
    shims: tuple[str, ...] = ("anyio",)
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.folder / f"{self.role}.ini"

    def text(self, first_start: bool = True) -> str:
        """Returns the settings, rendered from the template of the role."""
        port = site_processes.FIRST_PORT
        filled = node_site.values(
            name=self.role,
            host=self.host,
            port=port,
            seeds=f"{self.host}:{port + 8}",
            platform=f"{self.host}:{port + 9}",
            folder=self.folder / "data",
            first_start=first_start,
        )
        if self.role == "redirector":
            filled["dataDir"] = ""
            return node_site.render("registry", filled)
        return node_site.render(self.role, filled)

    def start(self, command: collections.abc.Sequence[str] = ()) -> None:
        """Starts the process, by default with the deploy file's command."""
        folder = self.folder / "shims"
        folder.mkdir(exist_ok=True)
        for name in self.shims:
            (folder / f"{name}.py").write_text(SHIM)
        module = "gateway" if self.role == "gateway" else "registry"
        paths = [str(folder), *filter(None, sys.path)]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(  # noqa: S603
                [
                    sys.executable,
                    "-S",
                    "-m",
                    *(command or [f"cactusstile.{module}"]),
                ],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(paths),
                    "CACTUSSTILE_SETTINGS": str(self.settings),
                },
            )

    def log(self) -> str:
        """Returns what the process wrote so far."""
        return (self.folder / "log").read_text()

    def signal_until(
        self, text: str, *numbers: int, pause_s: float = 0.005
    ) -> bool:
        """Sends signals again and again until the log has `text`.

        Returns:
          Whether it has; False if the process ended without.
        """
        return self._signal(lambda: text in self.log(), numbers, pause_s)

    def signal_until_started(self, *numbers: int) -> bool:
        """Sends signals until the process serves; see `signal_until`."""
        if self.role != "redirector":
            return self.signal_until('"started', *numbers)
        return self._signal(self._is_listening, numbers, 0.005)

    def _is_listening(self) -> bool:
        with socket.socket() as probe:
            place = (self.host, site_processes.FIRST_PORT + 8)
            return probe.connect_ex(place) == 0

    def _signal(
        self,
        is_done: collections.abc.Callable[[], bool],
        numbers: collections.abc.Iterable[int],
        pause_s: float,
    ) -> bool:
        assert self.process is not None
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while not is_done():
            if self.process.poll() is not None:
                return is_done()
            assert time.monotonic() < deadline_s, self.log()[-2000:]
            for number in numbers:
                self.process.send_signal(number)
            time.sleep(pause_s)
        return True

    def stop(self, *numbers: int, pause_s: float = 0.005) -> int:
        """Sends signals until the process ends, and returns its exit code."""
        assert self.process is not None
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while self.process.poll() is None:
            assert time.monotonic() < deadline_s, self.log()[-2000:]
            for number in numbers:
                self.process.send_signal(number)
            time.sleep(pause_s)
        return self.process.wait()

    def close(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
