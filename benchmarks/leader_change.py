"""Measures how long gateways need to find another leader of control.

Run it as `python -m benchmarks.leader_change`: three registries and some
gateways as processes, beside processes that compute. The leader is stopped or
killed; times are those of log lines, and infinite where nothing came in the six
seconds in which the leader was gone. That of another leader is rounded up to a
quarter of a second.
"""

from __future__ import annotations

import contextlib
import datetime
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import attrs
import fire
from tests.registry import support
from tests.support import node_site

FOLLOWING = "following the leading control process"
LEADERSHIP = "leadership changed"
REGISTRIES = ("r-1", "r-2", "r-3")
START_S = 8.0
# Time for which the leader is gone, and time until the next try.
GONE_S = 6.0
SETTLE_S = 2.5
OPERATOR, LIST = 8, 9
_COMPUTE = "while True: pass"


@attrs.define
class Site:
    """The processes of a measurement.

    Attributes:
      folder: Folder of settings, state and logs.
      network: Prefix of their addresses.
      processes: Processes by name.
      hosts: Addresses by name.
    """

    folder: pathlib.Path
    network: str = attrs.field(factory=support.draw_network)
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    hosts: dict[str, str] = attrs.field(factory=dict)

    def start(self, name: str, *, first_start: bool = True) -> None:
        """Starts a process; its name tells its role."""
        role = "registry" if name in REGISTRIES else "gateway"
        port = support.FIRST_PORT
        filled = node_site.values(
            name=name,
            host=self.hosts[name],
            port=port,
            seeds=",".join(
                f"{self.hosts[one]}:{port + OPERATOR}" for one in REGISTRIES
            ),
            platform=f"{self.network}.1:{port + LIST}",
            folder=self.folder / name,
            first_start=first_start,
        )
        path = self.folder / f"{name}.ini"
        path.write_text(node_site.render(role, filled))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", "cactusstile", role, str(path)],
                stdout=log,
                stderr=log,
            )

    def lines(self, name: str, message: str) -> list[dict[str, typing.Any]]:
        """Returns the log lines of a process that have a message."""
        found = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            if message not in line:
                continue
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def leader(self, gateway: str) -> str:
        """Returns the name of the registry that a gateway follows."""
        host = self.lines(gateway, FOLLOWING)[-1]["control"].split(":")[0]
        return next(name for name in REGISTRIES if self.hosts[name] == host)

    def end(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()


def _unix_s(line: dict[str, typing.Any]) -> float:
    text = line["time"].replace(",", ".")
    told = datetime.datetime.fromisoformat(text)
    return told.replace(tzinfo=datetime.UTC).timestamp()


def _first_after(
    lines: list[dict[str, typing.Any]], from_s: float
) -> float | None:
    times_s = [_unix_s(line) - from_s for line in lines]
    return min((one for one in times_s if one > 0), default=None)


def _try(
    site: Site, gateways: list[str], number: signal.Signals
) -> tuple[float | None, list[float]]:
    """Returns when another registry led, and when gateways followed it."""
    leader = site.leader(gateways[0])
    process = site.processes[leader]
    began_s = time.time()
    process.send_signal(number)
    time.sleep(GONE_S)
    led: list[dict[str, typing.Any]] = []
    for name in REGISTRIES:
        if name == leader:
            continue
        own = f"{site.hosts[name]}:"
        for line in site.lines(name, LEADERSHIP):
            if line["leader"].startswith(own):
                led.append(line)
    elected_s = _first_after(led, began_s)
    followed_s = [
        _first_after(site.lines(gateway, FOLLOWING), began_s) or float("inf")
        for gateway in gateways
    ]
    if number is signal.SIGSTOP:
        process.send_signal(signal.SIGCONT)
    else:
        process.wait()
        site.start(leader, first_start=False)
    time.sleep(SETTLE_S)
    return elected_s, followed_s


def _describe(name: str, times_s: list[float]) -> str:
    ordered = sorted(times_s)

    def at(fraction: float) -> str:
        return f"{ordered[int(fraction * (len(ordered) - 1) + 0.5)]:.2f}"

    return (
        f"{name}: {len(ordered)} times, median {at(0.5)} s, p90 {at(0.9)} s,"
        f" max {at(1.0)} s"
    )


def run(
    tries: int = 20, gateways: int = 4, busy: int = 2, kind: str = "SIGSTOP"
) -> None:
    """Measures and prints distributions.

    Args:
      tries: Number of tries.
      gateways: Number of gateways.
      busy: Number of processes that compute beside them.
      kind: Signal that the leader gets: SIGSTOP or SIGKILL.
    """
    names = [f"g-{number}" for number in range(1, gateways + 1)]
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.ExitStack() as ends,
    ):
        site = Site(pathlib.Path(folder))
        ends.callback(site.end)
        for number, name in enumerate((*REGISTRIES, *names)):
            site.hosts[name] = f"{site.network}.{number + 2}"
        for name in site.hosts:
            site.start(name)
        for number in range(busy):
            site.processes[f"busy-{number}"] = subprocess.Popen(  # noqa: S603
                [sys.executable, "-c", _COMPUTE]
            )
        time.sleep(START_S)
        elected, followed = [], []
        for _ in range(tries):
            elected_s, followed_s = _try(site, names, signal.Signals[kind])
            elected.append(elected_s or float("inf"))
            followed += followed_s
        load = pathlib.Path("/proc/loadavg").read_text().split()[0]
        print(_describe(f"{kind}, another leads", elected))
        print(_describe(f"{kind}, gateways follow it", followed))
        print(f"load {load}", flush=True)


if __name__ == "__main__":
    fire.Fire(run)
