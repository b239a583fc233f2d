"""A worker as the pages describe it, whose behaviour a test may change.

Command: worker.py HOST:PORT ID OPTIONS (a JSON object, see `Worker`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time

SEAL = "X-Cactusstile-Response-Seal: 3e1b.07"


class Worker:
    """A model worker for streams, an application worker for the rest.

    Options: `events` and `gap_ms` of a stream, `work_ms` of another answer,
    `mode` of streams ("sound", "repeats", "endless") and `after`, the number
    of events before the mode shows.
    """

    def __init__(self, identity: str, options: dict[str, object]) -> None:
        """Starts with the options of the command."""
        self.identity = identity
        self.options: dict[str, object] = {
            "events": 12,
            "gap_ms": 20,
            "work_ms": 30,
            "mode": "sound",
            "after": 2,
            "build": "v1",
            "leaving": False,
            **options,
        }
        self.runs: list[dict[str, object]] = []

    def number(self, name: str) -> int:
        """Returns an option that is a number."""
        return int(str(self.options[name]))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_next(reader, writer):
                pass
        writer.close()

    async def _serve_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        method, path, _ = first.split()
        fields = {}
        for line in rest:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if path == "/test/change":
            self.options.update(json.loads(body))
            self._answer(writer, 200, b"{}")
        elif path == "/test/runs":
            self._answer(writer, 200, json.dumps(self.runs).encode())
        elif path == "/healthz":
            name = f"X-Cactusstile-Instance-Id: {self.identity}"
            self._answer(writer, 200, b"", name)
        elif path == "/-/report":
            report = {
                "stage": "both",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "queued": 0,
                "active": 0,
                "kvUsed": 0,
                "kvTotal": 43407,
                "handles": 0,
            }
            self._answer(writer, 200, json.dumps(report).encode())
        else:
            return await self._run(writer, method, path, fields)
        await writer.drain()
        return True

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        *fields: str,
    ) -> None:
        lines = [
            f"HTTP/1.1 {status} X",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *fields,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        fields: dict[str, str],
    ) -> bool:
        attempt = fields.get("x-cactusstile-attempt-id", "")
        echo = f"X-Cactusstile-Attempt-Id: {attempt}"
        expected = fields.get("x-cactusstile-expect-instance", self.identity)
        if expected != self.identity:
            self._answer(writer, 421, b"{}", echo)
            await writer.drain()
            return True
        run: dict[str, object] = {
            "id": attempt,
            "path": path,
            "began": time.time(),
            "method": method,
        }
        self.runs.append(run)
        if "x-cactusstile-model" not in fields:
            await asyncio.sleep(self.number("work_ms") / 1000)
            notices = [echo, SEAL]
            if self.options["leaving"]:
                notices.append("Server-Leaving: 1")
            self._answer(writer, 200, b"x" * 800, *notices)
            await writer.drain()
            return True
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "X-Cactusstile-Weight-Versions: 1",
            echo,
            SEAL,
        ]
        if self.options["leaving"]:
            lines.append("Server-Leaving: 1")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.number("events") + 1):
            if self.options["mode"] != "sound" and number > self.number(
                "after"
            ):
                await self._misbehave(writer, number)
                return False
            if number <= self._last_known(fields):
                continue
            text = f"{self.options['build']} {'x' * 57}"
            _write_chunk(writer, f"id: {number}\ndata: {text}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.number("gap_ms") / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _last_known(self, fields: dict[str, str]) -> int:
        """Returns the id of the last event that the caller has already."""
        return int(fields.get("last-event-id", "0"))

    async def _misbehave(
        self, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Sends bytes without end, until the caller closes."""
        if self.options["mode"] == "repeats":
            unit = f"id: {number - 1}\ndata: x\n\n".encode()
        else:
            unit = b"x"
        block = unit * (16384 // len(unit))
        pause_s = self.number("pause_ms") / 1000
        while True:
            _write_chunk(writer, block)
            await writer.drain()
            await asyncio.sleep(pause_s)


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


async def main() -> None:
    """Serves until the process is killed."""
    place, identity, options = sys.argv[1:4]
    host, _, port = place.rpartition(":")
    worker = Worker(identity, {"pause_ms": 0, **json.loads(options)})
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
