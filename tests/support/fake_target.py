"""Runs one stand-in of a target as a process: KIND ADDRESS [LEDGER].

A service writes its ledger at its end; an engine adds a line for each run, with
the time on the monotonic clock and the first token of the prompt.
"""

from __future__ import annotations

import json
import pathlib
import sys
import typing

import anyio

from cactusstile.console import signals
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import service
from cactusstile.fakes import serving
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.fakes import engine_stream

SERVICE_CALL_S = 0.05


class _RecordingEngine(engine.Engine):
    """An engine that notes each run in a file before it starts."""

    ledger_path = ""

    def submit(
        self, submission: engine_stream.Submission
    ) -> engine_stream.Stream:
        if self.ledger_path and submission.request_id not in self.streams:
            entry = [anyio.current_time(), submission.prompt[0]]
            with pathlib.Path(self.ledger_path).open("a") as ledger:
                ledger.write(json.dumps(entry) + "\n")
        return super().submit(submission)


def _write_ledger(stand_in: service.Service, path: str) -> None:
    ledger = [[entry.workspace, entry.request_key] for entry in stand_in.ledger]
    pathlib.Path(path).write_text(json.dumps(ledger))


async def _serve_service(listen: address.Address, ledger_path: str) -> None:
    stand_in = service.Service(answer_delay_s=SERVICE_CALL_S)
    async with serving.open_app(service.build_app(stand_in), listen):
        await signals.wait_for_stop()
    if ledger_path:
        _write_ledger(stand_in, ledger_path)


async def _main(kind: str, place: str, ledger_path: str) -> None:
    listen = address.parse(place)
    if kind == "service":
        await _serve_service(listen, ledger_path)
        return
    stand_in = _RecordingEngine(engine.EngineSettings(output_token_s=0.005))
    stand_in.ledger_path = ledger_path
    async with (
        stand_in.run(),
        serving.open_app(engine_app.build_app(stand_in), listen),
    ):
        await signals.wait_for_stop()


if __name__ == "__main__":
    anyio.run(_main, sys.argv[1], sys.argv[2], (*sys.argv, "")[3])
