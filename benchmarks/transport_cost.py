"""Costs of the transport: memory and heartbeats of connections, calls.

Run: python -m benchmarks.transport_cost
"""

from __future__ import annotations

import contextlib
import json
import time

import anyio

from benchmarks import resident_memory
from cactusstile.transport import address
from cactusstile.transport import connection
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import messages
from cactusstile.transport import pool
from cactusstile.transport import server

SECRETS = handshake.Secrets(b"0123456789abcdef")
CONNECTIONS = (100, 500, 1000)
MEASUREMENT_S = 4.0
CALLS = 4000
CONCURRENT_CALLS = 64


async def _echo(_: incoming.Responder, message: object) -> object:
    return message


async def _wait_forever(_: incoming.Responder, message: object) -> object:
    await anyio.sleep_forever()
    return message


async def _measure_connections(count: int, *, busy: bool) -> dict[str, float]:
    """Returns the cost of `count` connections, both ends in this process."""
    handlers = incoming.Handlers(calls={messages.Empty: _wait_forever})
    before = resident_memory.resident_bytes()
    async with contextlib.AsyncExitStack() as stack:
        opened = await stack.enter_async_context(
            server.open_server(
                address.Address("127.0.0.1", 0),
                handshake.Identity("agent", "a"),
                SECRETS,
                handlers,
            )
        )
        links: list[connection.Connection] = []
        for position in range(count):
            peers = await stack.enter_async_context(
                pool.open_pool(
                    handshake.Identity("entry", f"e{position}"), SECRETS
                )
            )
            links.append(await peers.connect(opened.bound))
        if busy:
            for link in links:
                await stack.enter_async_context(
                    link.open_stream(messages.Empty())
                )
        await anyio.sleep(0.5)
        started = time.process_time()
        await anyio.sleep(MEASUREMENT_S)
        cpu_s = time.process_time() - started
        used = resident_memory.resident_bytes() - before
    return {
        "connections": count,
        "busy": busy,
        "processor_us_per_connection_s": cpu_s / MEASUREMENT_S / count * 1e6,
        "bytes_per_connection_both_ends": used / count,
    }


async def _measure_calls() -> dict[str, float]:
    handlers = incoming.Handlers(calls={messages.CallError: _echo})
    message = messages.CallError("code", "a message of usual length", "")
    async with (
        server.open_server(
            address.Address("127.0.0.1", 0),
            handshake.Identity("agent", "a"),
            SECRETS,
            handlers,
        ) as opened,
        pool.open_pool(handshake.Identity("entry", "e"), SECRETS) as peers,
    ):
        link = await peers.connect(opened.bound)

        async def repeat() -> None:
            for _ in range(CALLS // CONCURRENT_CALLS):
                await link.call(message, timeout_s=10)

        started = time.process_time()
        async with anyio.create_task_group() as group:
            for _ in range(CONCURRENT_CALLS):
                group.start_soon(repeat)
        cpu_s = time.process_time() - started
    return {"processor_us_per_call_both_ends": cpu_s / CALLS * 1e6}


async def _main() -> None:
    for busy in (False, True):
        for count in CONNECTIONS:
            result = await _measure_connections(count, busy=busy)
            print(json.dumps(result))
    print(json.dumps(await _measure_calls()))


if __name__ == "__main__":
    anyio.run(_main)
