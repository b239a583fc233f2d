"""Runs one stand-in of a target as a process: KIND PORT."""

from __future__ import annotations

import sys

import anyio

from cactusstile.console import signals
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import service
from cactusstile.fakes import serving
from cactusstile.transport import address


async def _main(kind: str, port: int) -> None:
    listen = address.Address("127.0.0.1", port)
    if kind == "service":
        async with serving.open_app(
            service.build_app(service.Service()), listen
        ):
            await signals.wait_for_stop()
        return
    stand_in = engine.Engine(engine.EngineSettings(output_token_s=0.005))
    async with (
        stand_in.run(),
        serving.open_app(engine_app.build_app(stand_in), listen),
    ):
        await signals.wait_for_stop()


if __name__ == "__main__":
    anyio.run(_main, sys.argv[1], int(sys.argv[2]))
