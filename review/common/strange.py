"""A client that the users do not control; sends until it is killed.

Command: strange.py HOST:PORT OPEN KIND. It keeps OPEN connections, each with
one request at a time. KIND is "parts" (64 parts of no tokens with long ids),
"ids" (a long attempt id) or "plain" (as ordinary clients).
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import uuid

PARTS, PART_DIGITS = 64, 200
ID_DIGITS = 14_720
# Blank lines apart, so that a reader counts them.
TOLD_EVERY = 100


def make_request(kind: str) -> bytes:
    """Returns a request, whose head is within 16,384 bytes."""
    own = uuid.uuid4().hex
    identity, prefix = own[:16], f"5c1e07a2:650,{own[:8]}:177"
    if kind == "ids":
        identity = (own * (ID_DIGITS // len(own) + 1))[:ID_DIGITS]
    if kind == "parts":
        prefix = ",".join(
            f"{number:x}{own}".ljust(PART_DIGITS, "0") + ":0"
            for number in range(PARTS)
        )
    lines = [
        "POST /draft/1 HTTP/1.1",
        "Host: site.example",
        f"X-Cactusstile-Attempt-Id: {identity}",
        "X-Cactusstile-Deadline-Ms: 12000",
        "X-Cactusstile-Model: m0",
        "X-Cactusstile-Token-Usage: 827,4",
        f"X-Cactusstile-Prompt-Prefix: {prefix}",
        "Content-Length: 20",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"y" * 20


class Client:
    """Counts what was sent and answered."""

    def __init__(self, place: str, kind: str) -> None:
        """Has sent nothing yet."""
        self.host, _, port = place.rpartition(":")
        self.port = int(port)
        self.kind = kind
        self.sent = 0

    async def run(self) -> None:
        """Sends over connections of its own, one after the other."""
        while True:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
            ):
                await self._run_connection()
            await asyncio.sleep(0.1)

    async def _run_connection(self) -> None:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            while True:
                writer.write(make_request(self.kind))
                self.sent += 1
                if self.sent % TOLD_EVERY == 0:
                    sys.stdout.write(f"{self.sent}\n")
                    sys.stdout.flush()
                head = await reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head.lower():
                    await reader.readuntil(b"0\r\n\r\n")
                    continue
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                await reader.readexactly(length)
        finally:
            writer.close()


async def main() -> None:
    """Sends until the process is killed."""
    place, count, kind = sys.argv[1:4]
    client = Client(place, kind)
    async with asyncio.TaskGroup() as group:
        for _ in range(int(count)):
            group.create_task(client.run())


if __name__ == "__main__":
    asyncio.run(main())
