"""The targets of a run, each a process of its own, and the platform's list."""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing

import anyio
import anyio.abc
import attrs
from tests.soak import history as histories
from tests.soak import journals
from tests.soak import odd_entries
from tests.soak import relay as relays
from tests.soak import signals
from tests.soak import stand_ins

from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.transport import address

FIRST_TARGET = 30
# Added to the last octet of a relay's host to get that of the process.
BEHIND_RELAY_OFFSET = 100
REPLACEMENT_DELAY_S = 1.5
READ_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).parents[2]


class EndedByItselfError(Exception):
    """A target process ended that nothing had ended: a fault of the soak."""


@attrs.define(eq=False)
class TargetNode:
    """A target and its process.

    Attributes:
      id: Id of the target.
      service: Service of the target.
      listed: Address in the list.
      bound: Address of the process; `listed` if no relay is in front.
      data_centre: Data centre that the list names.
      seed: Seed of its failures.
      born_ms: Time of its start.
      weights: Version of the weights at its start.
      reader: Reads its journal; None before its first start.
      process: Its process; None before its first start.
      relay: The relay in front; None without one.
      leaving: Whether the list shows it as leaving.
    """

    id: str
    service: str
    listed: address.Address
    bound: address.Address
    data_centre: str
    seed: str
    born_ms: int
    weights: int
    reader: journals.Reader | None = None
    process: anyio.abc.Process | None = None
    relay: relays.Relay | None = None
    leaving: bool = False

    @property
    def runs(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def running(self) -> int:
        """Number of requests that it runs."""
        return 0 if self.reader is None else self.reader.running

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None:
            signals.send(self.process, number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.reader is not None and self.reader.killed_s is None:
            self.reader.killed_s = anyio.current_time()
        self.send(signal.SIGKILL)

    async def command(self, **values: object) -> None:
        """Changes attributes of the target; see `target_process`."""
        if self.process is None or self.process.stdin is None:
            return
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            await self.process.stdin.send(json.dumps(values).encode() + b"\n")

    def entry(self) -> dict[str, typing.Any]:
        """Returns the target's entry in the list."""
        fields: dict[str, typing.Any] = {
            "id": self.id,
            "service": self.service,
            "address": str(self.listed),
            "zone": self.data_centre,
            "slots": stand_ins.SLOTS,
            "state": "draining" if self.leaving else "ready",
            "coldRemainingMs": 0,
            "born": self.born_ms,
        }
        if self.service == stand_ins.ENGINE and self.reader is not None:
            weights = {
                "name": stand_ins.MODEL,
                "version": self.reader.weights,
            }
            fields["models"] = [weights]
        return fields


def _describe(node: TargetNode, journal: pathlib.Path) -> str:
    """Returns the argument of the process of a target."""
    arguments = {
        "id": node.id,
        "service": node.service,
        "bound": str(node.bound),
        "journal": str(journal.resolve()),
        "seed": node.seed,
        "born_ms": node.born_ms,
        "weights": node.weights,
    }
    return json.dumps(arguments)


@attrs.define
class Fleet:
    """All targets of a run.

    Attributes:
      folder: Folder of their journals.
      network: Prefix of all addresses.
      port: Port of all targets.
      seed: Seed of the run.
      data_centres: Targets stand in them by turns.
      history: Receives what their journals tell.
      links: State of the links between processes.
      group: Task group of the run.
      named_weights: Weights that were named.
      targets: Targets in the list.
      opened: Number of targets that were opened.
      running: Targets whose processes run.
      fault: Current fault of the list: "too_many", "silent", "torn" or "odd";
        empty for none.
      closing: Whether the run ends and all processes are ended.
    """

    folder: pathlib.Path
    network: str
    port: int
    seed: int
    data_centres: tuple[str, ...]
    history: histories.History
    links: relays.Links
    group: anyio.abc.TaskGroup
    named_weights: stand_ins.Weights = attrs.field(factory=stand_ins.Weights)
    targets: list[TargetNode] = attrs.field(factory=list)
    opened: int = 0
    running: set[TargetNode] = attrs.field(factory=set)
    fault: str = ""
    closing: bool = False

    def open(self, service: str) -> None:
        """Starts a target, which joins the list once it listens."""
        number = FIRST_TARGET + self.opened
        self.opened += 1
        listed = address.Address(f"{self.network}.{number}", self.port)
        # Half of the targets stand behind a relay, which can cut and reset
        # their connections; the others show what a VM itself replies.
        is_relayed = number // len(self.data_centres) % 2 == 0
        bound = listed
        if is_relayed:
            host = f"{self.network}.{number + BEHIND_RELAY_OFFSET}"
            bound = address.Address(host, self.port)
        node = TargetNode(
            f"{service}-{number}",
            service,
            listed,
            bound,
            self.data_centres[number % len(self.data_centres)],
            f"{self.seed}/target/{number}",
            0,
            self.named_weights.newest,
        )
        if is_relayed:
            node.relay = relays.open_relay(
                node.id, listed, bound, self.links, self.group
            )
        self.group.start_soon(self.start, node)

    async def start(self, node: TargetNode) -> None:
        """Starts the process of a target and lists it once it listens."""
        node.born_ms = int(time.time() * 1000)
        path = self.folder / f"{node.id}-{node.born_ms}.jsonl"
        path.touch()
        if node.reader is not None:
            node.weights = node.reader.weights
        node.reader = journals.Reader(
            path,
            node.id,
            node.service,
            node.data_centre,
            self.history,
            node.weights,
        )
        node.process = await self._open_process(node, path)
        self.running.add(node)
        self.group.start_soon(self._follow, node, node.process, node.reader)
        with anyio.fail_after(START_TIMEOUT_S):
            while not node.reader.started and node.runs:
                await anyio.sleep(READ_INTERVAL_S)
        if node not in self.targets:
            self.targets.append(node)
            # Faults choose by the order, which a seed determines.
            self.targets.sort(key=lambda target: target.id)

    async def _open_process(
        self, node: TargetNode, journal: pathlib.Path
    ) -> anyio.abc.Process:
        with (self.folder / "targets.err").open("ab") as errors:
            return await anyio.open_process(
                [
                    sys.executable,
                    "-m",
                    "tests.soak.target_process",
                    _describe(node, journal),
                ],
                stdin=subprocess.PIPE,
                stdout=errors,
                stderr=errors,
                cwd=ROOT,
            )

    async def _follow(
        self,
        node: TargetNode,
        process: anyio.abc.Process,
        reader: journals.Reader,
    ) -> None:
        """Reads the journal of a process until its end."""
        try:
            while process.returncode is None:
                reader.read()
                with anyio.move_on_after(READ_INTERVAL_S):
                    await process.wait()
        finally:
            signals.send(process, signal.SIGKILL)
            self.running.discard(node)
        reader.close()
        if reader.killed_s is not None:
            return
        if not reader.ended_by_request:
            raise EndedByItselfError(f"{node.id}: {process.returncode}")
        await self._replace(node)

    async def _replace(self, node: TargetNode) -> None:
        """Opens another target for one that a request has ended."""
        fault = histories.InjectedFault(
            histories.ENDED_BY_REQUEST, node.id, anyio.current_time()
        )
        self.history.injected_faults.append(fault)
        await anyio.sleep(REPLACEMENT_DELAY_S)
        self.unlist(node)
        self.open(node.service)
        fault.to_s = anyio.current_time()

    def unlist(self, node: TargetNode) -> None:
        """Takes a target out of the list."""
        if node in self.targets:
            self.targets.remove(node)

    async def close(self) -> None:
        """Ends all targets once their journals are complete."""
        self.closing = True
        for node in tuple(self.running):
            node.kill()
        while self.running:
            await anyio.sleep(READ_INTERVAL_S)
        self.history.sort()

    async def answer_list(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Responds to a read of the list."""
        del request
        if self.fault == "too_many":
            await stand_ins.send_json(responder, 429, {})
            return
        if self.fault == "silent":
            await anyio.sleep(2.0)
        entries: list[typing.Any] = [node.entry() for node in self.targets]
        if self.fault == "torn":
            entries += [{"id": 7, "service": None}, "?", {"state": "odd"}]
        if self.fault == "odd":
            unused = f"{self.network}.250:{self.port}"
            rng = random.Random(f"{self.seed}/{len(entries)}")
            entries += odd_entries.draw(rng, entries[0], unused)
        page = {"instances": entries, "next": None}
        await stand_ins.send_json(responder, 200, page)
