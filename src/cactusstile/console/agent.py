"""Command `agent`: runs the agent of one target."""

from __future__ import annotations

import functools
import logging
import pathlib

from cactusstile import event_loops
from cactusstile.agent import wiring
from cactusstile.console import first_settings
from cactusstile.console import signals
from cactusstile.observability import logs
from cactusstile.settings import agent as agent_settings

logger = logging.getLogger(__name__)


def run(settings: str) -> None:
    """Runs an agent until a signal stops it.

    Args:
      settings: Path of the agent's settings file.
    """
    loaded = first_settings.load(
        pathlib.Path(settings),
        agent_settings.load,
        functools.partial(logs.configure, "agent", ""),
    )
    logs.configure("agent", loaded.process.name, "info")
    if loaded.kind == agent_settings.STORE_KIND:
        event_loops.run(_serve_store, loaded)
        return
    event_loops.run(_serve, loaded)


async def _serve(settings: agent_settings.AgentSettings) -> None:
    with signals.receive_from_start() as received:
        async with wiring.open_process(settings) as running:

            async def drain() -> None:
                if not await running.drain(settings.drain_limit_s):
                    logger.warning("drain timed out; some work did not finish")

            await signals.drain_at_signal(received, drain)


async def _serve_store(settings: agent_settings.AgentSettings) -> None:
    with signals.receive_from_start() as received:
        async with wiring.open_store_process(settings):
            await anext(received)
