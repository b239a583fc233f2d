"""A target as a process of its own, which journals its runs before it works.

It is started with a JSON object of its settings and takes commands, one a line,
from its standard input: `slow S` accepts no connection for S seconds, `reset S`
resets all connections while half of the runs go on for up to S seconds, `leave
S` closes the port after S seconds and exits after the last run, `weights N`
changes its weights, `pause S` refuses all for S seconds and says so, `limit R`
names a limit of R requests a second, 0 none.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import struct
import sys
import time
import typing

MODEL = "m"
EVENT_INTERVAL_S = 0.03
COPY_INTERVAL_S = 0.1
MAX_RUN_S = 0.25
# Fraction of runs that go on after their connection has closed.
KEPT_FRACTION = 0.2
# Fraction of refusals that follow an interim answer, and of those sent twice.
ODD_FRACTION = 0.25
Headers = dict[str, str]


class Target:
    """A target that runs requests and keeps copies of runs of others."""

    def __init__(self, settings: dict[str, typing.Any]) -> None:
        """Opens the journal and the port."""
        self.settings = settings
        self.id: str = settings["id"]
        self.key: str = settings["key"]
        self.random = random.Random(settings["seed"])
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.journal = os.open(settings["journal"], flags)
        self.listener = self._listen()
        self.connections: set[asyncio.StreamWriter] = set()
        self.copies: set[str] = set()
        self.running = 0
        self.slow_until_s = 0.0
        self.kept_until_s = 0.0
        self.leaving = False
        self.weights: int = settings.get("weights", 1)
        self.paused_until_s = 0.0
        self.limit = 0.0
        self.freed = asyncio.Condition()
        self.waiting = 0
        self.leave_task: asyncio.Task[None] | None = None

    def _listen(self) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.settings["host"], self.settings["port"]))
        listener.listen(self.settings["backlog"])
        listener.setblocking(False)
        return listener

    def note(self, what: str, attempt: str) -> None:
        """Appends a line to the journal."""
        line = f"{time.monotonic():.6f} {self.key} {what} {attempt}\n"
        os.write(self.journal, line.encode())

    async def accept(self) -> None:
        """Accepts connections until the port closes."""
        loop = asyncio.get_running_loop()
        tasks = set()
        while self.listener.fileno() >= 0:
            delay_s = self.slow_until_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            # Accepting by turns lets the port close at any time.
            try:
                raw, _ = self.listener.accept()
            except BlockingIOError:
                await asyncio.sleep(0.004)
                continue
            except OSError:
                return
            raw.setblocking(False)
            task = loop.create_task(self._serve(raw))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def follow_commands(self) -> None:
        """Carries out the commands from standard input until it closes."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            name, _, value = line.decode().strip().partition(" ")
            if name == "slow":
                self.slow_until_s = time.monotonic() + float(value)
            if name == "reset":
                self._reset(float(value))
            if name == "leave":
                self.leaving = True
                self.leave_task = loop.create_task(self._leave(float(value)))
            if name == "weights":
                self.weights = int(value)
            if name == "pause":
                self.paused_until_s = time.monotonic() + float(value)
            if name == "limit":
                self.limit = float(value)

    def _reset(self, kept_s: float) -> None:
        self.kept_until_s = time.monotonic() + kept_s
        for writer in tuple(self.connections):
            raw = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _leave(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.listener.close()
        while self.running:
            await asyncio.sleep(0.02)
        os._exit(0)

    async def _serve(self, raw: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=raw)
        self.connections.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                if not await self._answer(*request, reader, writer):
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(
        self,
        path: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        if self._is_refused_early(path) and (status := self._refusal(headers)):
            await self._refuse(writer, status, headers)
            await _read_body(reader, headers)
            return True
        body = await _read_body(reader, headers)
        if path == "/-/copy":
            self.copies.add(body.decode())
            await self._respond(writer, 200, headers, b"")
            return True
        if path.startswith("/-/") or path == "/healthz":
            await self._respond(writer, 200, headers, self._report())
            return True
        status = self._refusal(headers)
        if not status:
            status = await self._wait_for_slot(headers, reader)
        if status:
            await self._refuse(writer, status, headers)
            return True
        return await self._run(path, headers, reader, writer)

    def _is_refused_early(self, path: str) -> bool:
        """Returns whether a refusal may come before the body was read."""
        early = self.settings.get("early", 0)
        return not path.startswith("/-/") and self.random.random() < early

    async def _wait_for_slot(
        self, headers: Headers, reader: asyncio.StreamReader
    ) -> int:
        """Queues a request; returns the status of its refusal, or 0."""
        if self.running < self.settings["slots"] or "kv-from" in headers:
            return 0
        patience_s = int(headers["x-cactusstile-deadline-ms"]) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(patience_s), self.freed:
                while self.running >= self.settings["slots"]:
                    await self.freed.wait()
                    if reader.at_eof() or reader.exception() is not None:
                        raise ConnectionResetError
        except TimeoutError:
            return 503
        finally:
            self.waiting -= 1
        # Another one may have come first, or the weights have changed.
        return self._refusal(headers)

    def _refusal(self, headers: Headers) -> int:
        if headers.get("x-cactusstile-expect-instance", self.id) != self.id:
            return 421
        if headers.get("x-cactusstile-expect-version", "") not in (
            "",
            str(self.weights),
        ):
            return 421
        if time.monotonic() < self.paused_until_s:
            return 503
        is_continued = "kv-from" in headers
        is_full = self.running >= self.settings["slots"]
        is_full = is_full and self.waiting >= self.settings.get("queue", 0)
        if is_full and not is_continued:
            return 503
        attempt = headers["x-cactusstile-attempt-id"]
        if is_continued and attempt not in self.copies:
            return 503
        self.copies.discard(attempt)
        return 0

    async def _refuse(
        self, writer: asyncio.StreamWriter, status: int, headers: Headers
    ) -> None:
        """Refuses a request, sometimes after an interim answer, or twice."""
        if self.random.random() < ODD_FRACTION:
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        mark = "X-Cactusstile-Not-Executed: 1"
        pause_s = self.paused_until_s - time.monotonic()
        if status == 503 and pause_s > 0:
            mark += f"\r\nRetry-After: {pause_s:.2f}"
        await self._respond(writer, status, headers, b"", mark)
        if self.random.random() < ODD_FRACTION:
            await asyncio.sleep(self.random.uniform(0, 0.05))
            await self._respond(writer, status, headers, b"", mark)

    def _report(self) -> bytes:
        report = {"stage": "both", "models": [], "busy": False, "seq": 0}
        report |= {"queued": 0, "active": self.running}
        report |= {"born": self.settings["born"]}
        if self.settings["engine"]:
            model = {"name": MODEL, "version": self.weights, "adapters": []}
            report["models"] = [model]
        return json.dumps(report).encode()

    def _fields(self, headers: Headers) -> list[str]:
        fields = [f"X-Cactusstile-Instance-Id: {self.id}"]
        if self.leaving:
            fields.append("Server-Leaving: 1")
        if self.limit:
            fields.append(f"Server-Limit: {self.limit}")
        if "x-cactusstile-attempt-id" in headers:
            attempt = headers["x-cactusstile-attempt-id"]
            fields.append(f"X-Cactusstile-Attempt-Id: {attempt}")
        return fields

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: Headers,
        body: bytes,
        *more: str,
    ) -> None:
        fields = [*self._fields(headers), *more]
        fields.append(f"Content-Length: {len(body)}")
        head = f"HTTP/1.1 {status} -\r\n" + "\r\n".join(fields) + "\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    async def _run(
        self,
        path: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request; most runs end when their connection closes."""
        attempt = headers["x-cactusstile-attempt-id"]
        self.note("continue" if "kv-from" in headers else "begin", attempt)
        self.running += 1
        is_kept = self.random.random() < KEPT_FRACTION
        work = asyncio.ensure_future(self._work(path, headers, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                # A reset by this side ends some runs only later, too.
                now_s = time.monotonic()
                limit_s = max(0.0, self.kept_until_s - now_s)
                is_kept = is_kept or self.random.random() < 0.5
                await asyncio.wait((work,), timeout=limit_s * is_kept)
                return False
            return work.exception() is None and work.result()
        finally:
            work.cancel()
            gone.cancel()
            await asyncio.wait((work, gone))
            self.running -= 1
            self.note("end", attempt)
            async with self.freed:
                self.freed.notify_all()

    async def _work(
        self, path: str, headers: Headers, writer: asyncio.StreamWriter
    ) -> bool:
        seal = "X-Cactusstile-Response-Seal: " + self.id
        if not self.settings["engine"]:
            await asyncio.sleep(self.random.uniform(0, MAX_RUN_S))
            body = path.encode()
            await self._respond(writer, 200, headers, body, seal)
            return True
        fields = [*self._fields(headers), seal]
        fields.append("Content-Type: text/event-stream")
        fields.append("Transfer-Encoding: chunked")
        head = "HTTP/1.1 200 OK\r\n" + "\r\n".join(fields) + "\r\n\r\n"
        last = int(headers["x-cactusstile-token-usage"].partition(",")[2])
        first = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(head.encode())
        copied_s = 0.0
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {number}\n\n"
            with contextlib.suppress(OSError):
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
            if time.monotonic() - copied_s > COPY_INTERVAL_S:
                copied_s = time.monotonic()
                await self._copy(headers)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _copy(self, headers: Headers) -> None:
        place = headers.get("x-cactusstile-kv-backup")
        if place is None:
            return
        host, _, port = place.rpartition(":")
        attempt = headers["x-cactusstile-attempt-id"]
        text = f"POST /-/copy HTTP/1.1\r\nContent-Length: {len(attempt)}\r\n"
        with contextlib.suppress(OSError, TimeoutError, asyncio.TimeoutError):
            opening = asyncio.open_connection(host, int(port))
            _, writer = await asyncio.wait_for(opening, 0.05)
            writer.write(f"{text}\r\n{attempt}".encode())
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    line = (await reader.readline()).decode().split()
    if not line:
        return None
    headers = {}
    while (field := (await reader.readline()).decode().strip()) != "":
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    return line[1], headers


async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def _main() -> None:
    target = Target(json.loads(sys.argv[1]))
    commands = asyncio.ensure_future(target.follow_commands())
    await target.accept()
    # The runs of a target that leaves end it.
    await commands


if __name__ == "__main__":
    asyncio.run(_main())
