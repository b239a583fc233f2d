"""A stand-in of a worker; it behaves as the users' pages say."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
import typing

import http11

if typing.TYPE_CHECKING:
    import small_site

_numbers = itertools.count(1)


class Worker:
    """A worker at an address of its own.

    Subclasses override `answer`, which writes one answer.

    Attributes:
      service: Name of its service.
      id: Identity of this start.
      received: Requests that it ran, in order.
    """

    def __init__(self, site: small_site.Site, service: str) -> None:
        self.site = site
        self.service = service
        self.host = f"{site.network}.{100 + next(_numbers)}"
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.received: list[http11.Message] = []
        self.server: asyncio.Server
        self.writers: set[asyncio.StreamWriter] = set()
        self.models: list[dict[str, typing.Any]] = []
        self.state = "ready"

    @property
    def address(self) -> str:
        """Address as on the platform's list."""
        return f"{self.host}:{self.site.port}"

    def entry(self) -> dict[str, typing.Any]:
        """Returns its entry of the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": "hall-1",
            "version": "v1",
            "slots": 48,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "both",
            "models": self.models,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listens, and enters the platform's list."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.site.port
        )
        self.site.servers.append(self.server)
        self.site.entries.append(self.entry())

    async def crash_for(self, seconds: float, *, same_id: bool = True) -> None:
        """Crashes and starts again, mostly under the id that it had."""
        self.crash()
        before = self.entry()
        await asyncio.sleep(seconds)
        if not same_id:
            self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.site.entries[self.site.entries.index(before)] = self.entry()
        self.server = await asyncio.start_server(
            self._serve, self.host, self.site.port
        )
        self.site.servers.append(self.server)
        self.note("started again")

    def crash(self) -> None:
        """Ends at once: it resets all connections and listens no more."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        self.site.record.write(f"worker {self.id} of {self.service}: {text}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await http11.read_head(reader)) is not None:
                await http11.read_body(reader, request)
                if not await self._answer(request, writer):
                    break
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: http11.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        path = request.path.partition("?")[0]
        if path == "/-/report":
            self._write(writer, "200 OK", {}, http11.to_json(self.report()))
            return True
        if path == "/-/order":
            self.note(f"order {request.body.decode()}")
            self._write(writer, "400 No", {}, b"")
            return True
        attempt = request.find("x-cactusstile-attempt-id")
        own = {"X-Cactusstile-Attempt-Id": attempt}
        own["X-Cactusstile-Instance-Id"] = self.id
        expected = request.find("x-cactusstile-expect-instance")
        if expected and expected != self.id:
            own["X-Cactusstile-Not-Executed"] = "1"
            self._write(writer, "421 Misdirected", own, b"")
            return True
        self.received.append(request)
        self.note(f"runs {attempt} {request.method} {request.path}")
        own["X-Cactusstile-Response-Seal"] = secrets.token_hex(6)
        return await self.answer(request, writer, own)

    async def answer(
        self,
        request: http11.Message,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> bool:
        """Runs a request and writes its answer.

        Args:
          request: The request.
          writer: Where the answer goes.
          own: Header fields of each answer.

        Returns:
          Whether the connection stays open.
        """
        await asyncio.sleep(0.02)
        self._write(writer, "200 OK", own, b"done by " + self.id.encode())
        return True

    def report(self) -> dict[str, typing.Any]:
        """Returns the answer to GET /-/report."""
        return {
            "stage": "both",
            "models": self.models,
            "busy": False,
            "seq": 0,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self.born,
        }

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        writer.write(http11.encode(f"HTTP/1.1 {status}", headers, body))
