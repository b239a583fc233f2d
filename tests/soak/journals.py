"""Journals of target processes, which survive a kill of their process.

A line is in the file before what it tells of begins.
"""

from __future__ import annotations

import json
import pathlib
import typing

import anyio
import attrs
from tests.soak import history as histories

# Fields of an arrival that its first line holds.
_ARRIVAL_FIELDS = (
    "request_id",
    "workspace",
    "path",
    "key",
    "last_event",
    "from_copy",
)


@attrs.define
class Journal:
    """Writes what happens at one target process.

    Attributes:
      file: The journal, opened unbuffered.
      count: Number of arrivals so far.
    """

    file: typing.BinaryIO
    count: int = 0

    def write(self, kind: str, **values: object) -> None:
        """Writes one line."""
        line = {"kind": kind, "now_s": anyio.current_time(), **values}
        self.file.write(json.dumps(line).encode() + b"\n")

    def arrive(self, arrival: histories.Arrival) -> int:
        """Writes a request that was read; returns its number."""
        self.count += 1
        values = {name: getattr(arrival, name) for name in _ARRIVAL_FIELDS}
        body = arrival.body.decode("latin-1")
        self.write("arrival", number=self.count, body=body, **values)
        return self.count

    def change(self, number: int, **values: object) -> None:
        """Writes changed fields of an arrival."""
        self.write("change", number=number, values=values)


@attrs.define
class Reader:
    """Reads the journal of one target process into the records of a run.

    Attributes:
      path: The journal.
      target: Id of the target.
      service: Service of the target.
      data_centre: Data centre of the target.
      history: Receives arrivals, orders and ends.
      weights: Last version of the weights that the target told.
      started: Whether the process listens.
      ended_by_request: Whether a request ended the process.
      killed_s: Time at which the soak ended the process; None before.
      offset: Number of bytes that were read.
      arrivals: Arrivals by their number.
    """

    path: pathlib.Path
    target: str
    service: str
    data_centre: str
    history: histories.History
    weights: int
    started: bool = False
    ended_by_request: bool = False
    killed_s: float | None = None
    offset: int = 0
    arrivals: dict[int, histories.Arrival] = attrs.field(factory=dict)

    @property
    def running(self) -> int:
        """Number of runs that have begun and not ended."""
        return sum(
            arrival.ran and arrival.ended_s is None
            for arrival in self.arrivals.values()
        )

    def read(self) -> None:
        """Reads the lines that are new."""
        with self.path.open("rb") as file:
            file.seek(self.offset)
            whole, newline, _ = file.read().rpartition(b"\n")
        self.offset += len(whole) + len(newline)
        for line in whole.splitlines():
            self._take(json.loads(line))

    def close(self) -> None:
        """Reads the rest of a process that ended, and ends its runs."""
        self.read()
        ended_s = self.killed_s or anyio.current_time()
        for arrival in self.arrivals.values():
            if arrival.ran and arrival.ended_s is None:
                arrival.ended_s = ended_s

    def _take(self, line: dict[str, typing.Any]) -> None:
        kind, now_s = line.pop("kind"), line.pop("now_s")
        match kind:
            case "started":
                self.started = True
            case "weights":
                self.weights = line["version"]
            case "order":
                order = histories.Order(self.target, at_s=now_s, **line)
                self.history.orders.append(order)
            case "ended_by_request":
                self.ended_by_request = True
                self.history.ended_by_request_s.append(now_s)
            case "arrival":
                self._take_arrival(line, now_s)
            case "change":
                self._change(line["number"], line["values"])

    def _take_arrival(self, line: dict[str, typing.Any], now_s: float) -> None:
        number = line.pop("number")
        line["body"] = line["body"].encode("latin-1")
        arrival = histories.Arrival(
            target=self.target,
            service=self.service,
            at_s=now_s,
            data_centre=self.data_centre,
            **line,
        )
        self.arrivals[number] = arrival
        self.history.arrivals.append(arrival)

    def _change(self, number: int, values: dict[str, typing.Any]) -> None:
        reused = values.pop("reused", None)
        arrival = self.arrivals[number]
        if reused is not None:
            arrival.reused = tuple(tuple(part) for part in reused)
        for name, value in values.items():
            setattr(arrival, name, value)
