"""Runs one stand-in target as a process: `python -m tests.soak.target_process`.

Its only argument is JSON; commands, JSON lines too, arrive on standard input,
and its end ends the process.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import socket
import sys
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
from tests.soak import journals
from tests.soak import stand_ins

from cactusstile.http import callers
from cactusstile.http import serving as servings
from cactusstile.http import sockets
from cactusstile.transport import address

# Connections that wait at a port on which nothing is accepted.
STALLED_BACKLOG = 1
RECEIVE_BYTES = 64 << 10


@attrs.define
class Port:
    """The port of a target, which faults close or stall.

    Attributes:
      place: Address of the port.
      serving: State shared by its connections.
      group: Task group of its connections.
      listener: Open listener; None while the port is closed.
    """

    place: address.Address
    serving: servings.Serving
    group: anyio.abc.TaskGroup
    listener: socket.socket | None = None

    def set(self, state: str) -> None:
        """Changes to one of the states "open", "stalled" and "closed"."""
        self.serving.accepting.cancel()
        if state == "closed":
            if self.listener is not None:
                self.listener.close()
            self.listener = None
            return
        if self.listener is None:
            self.listener = sockets.listen(self.place)
        if state == "stalled":
            self.listener.listen(STALLED_BACKLOG)
            return
        self.listener.listen(sockets.BACKLOG_CONNECTIONS)
        self.serving.accepting = anyio.CancelScope()
        # Serving closes its listener, and the port must stay open for a stall.
        accepting = self.listener.dup()
        self.group.start_soon(
            callers.serve_listener, accepting, self.serving, self.group
        )


async def run(
    arguments: dict[str, typing.Any], journal: journals.Journal
) -> None:
    """Serves until standard input ends."""
    target = stand_ins.Target(
        arguments["id"],
        arguments["service"],
        journal,
        random.Random(arguments["seed"]),
        arguments["born_ms"],
        arguments["weights"],
    )
    async with anyio.create_task_group() as group:
        serving = callers.internal_serving(target.start(group))
        place = address.parse(arguments["bound"])
        port = Port(place, serving, group)
        port.set("open")
        journal.write("started")
        await _obey(target, port)
        group.cancel_scope.cancel()


async def _obey(target: stand_ins.Target, port: Port) -> None:
    """Carries out commands until standard input ends."""
    rest = b""
    while True:
        await anyio.wait_readable(sys.stdin)
        data = os.read(sys.stdin.fileno(), RECEIVE_BYTES)
        if not data:
            return
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            for name, value in json.loads(line).items():
                if name == "port":
                    port.set(value)
                else:
                    setattr(target, name, value)
            # A port serves from the next turn on.
            await anyio.lowlevel.checkpoint()


def main() -> None:
    """Runs the target that the argument describes."""
    arguments = json.loads(sys.argv[1])
    with pathlib.Path(arguments["journal"]).open("ab", buffering=0) as file:
        anyio.run(run, arguments, journals.Journal(file))


if __name__ == "__main__":
    main()
