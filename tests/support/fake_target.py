"""Runs a fake target as a process: KIND ADDRESS [LEDGER].

A service writes its ledger when it stops. An engine appends a line for each
run: the time of the monotonic clock in seconds and the prompt's first token.
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
    """A fake engine that records each run in a file before the run starts."""

    ledger_path = ""

    def submit(
        self, submission: engine_stream.Submission
    ) -> engine_stream.Stream:
        if self.ledger_path and submission.request_id not in self.streams:
            entry = [anyio.current_time(), submission.prompt[0]]
            with pathlib.Path(self.ledger_path).open("a") as ledger:
                ledger.write(json.dumps(entry) + "\n")
        return super().submit(submission)


def _write_ledger(fake: service.Service, path: str) -> None:
    ledger = [[entry.workspace, entry.request_key] for entry in fake.ledger]
    pathlib.Path(path).write_text(json.dumps(ledger))


async def _serve_service(listen: address.Address, ledger_path: str) -> None:
    fake = service.Service(answer_delay_s=SERVICE_CALL_S)
    async with serving.open_app(service.build_app(fake), listen):
        await signals.wait_for_stop()
    if ledger_path:
        _write_ledger(fake, ledger_path)


async def _main(kind: str, listen_text: str, ledger_path: str) -> None:
    listen = address.parse(listen_text)
    if kind == "service":
        await _serve_service(listen, ledger_path)
        return
    fake = _RecordingEngine(engine.EngineSettings(output_token_s=0.005))
    fake.ledger_path = ledger_path
    async with (
        fake.run(),
        serving.open_app(engine_app.build_app(fake), listen),
    ):
        await signals.wait_for_stop()


if __name__ == "__main__":
    anyio.run(_main, sys.argv[1], sys.argv[2], (*sys.argv, "")[3])
