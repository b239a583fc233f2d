"""A small HTTP/1.1 reader and writer for stand-ins."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import json
import typing

MAX_HEAD_BYTES = 1 << 16


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
      start: First line.
      headers: Header fields with lower-case names.
      body: Whole body; what was received of it if the message was cut.
      is_whole: Whether the message arrived up to its end.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer; 0 if the connection ended without one."""
        words = self.start.split(" ")
        return int(words[1]) if words[0].startswith("HTTP/") else 0

    @property
    def path(self) -> str:
        """Path of a request, with its query."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    def find(self, name: str) -> str:
        """Returns a header field; empty if it is absent."""
        return self.headers.get(name.lower(), "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader,
    message: Message,
    *,
    until_closed: bool = False,
) -> None:
    """Reads the body of a message; records whether it arrived whole."""
    message.is_whole = False
    async for part in parts(reader, message, until_closed=until_closed):
        message.body += part


async def parts(
    reader: asyncio.StreamReader,
    message: Message,
    *,
    until_closed: bool = False,
) -> collections.abc.AsyncIterator[bytes]:
    """Yields the parts of a body as they arrive."""
    try:
        if "chunked" in message.find("transfer-encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                yield data[:-2]
        elif message.find("content-length"):
            left = int(message.find("content-length"))
            while left:
                data = await reader.read(min(left, 1 << 16))
                if not data:
                    return
                left -= len(data)
                yield data
        elif until_closed:
            while data := await reader.read(1 << 16):
                yield data
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return
    message.is_whole = True


def encode(
    start: str, headers: collections.abc.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Connection:
    """A client's connection, which may be used for many requests."""

    def __init__(self, host: str, port: int) -> None:
        self.place = (host, port)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Connection:
        """Connects within the second that clients allow."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.place), 1.0
        )
        return self

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def send(
        self,
        start: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes = b"",
    ) -> None:
        """Sends a request."""
        self.writer.write(encode(start, headers, body))
        await self.writer.drain()

    async def ask(
        self,
        start: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Message:
        """Sends a request and returns the answer.

        A connection that ended, or no answer in time, is an answer with the
        status 0 and the reason in its first line.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(start, headers, body)
                answer = await read_head(self.reader)
                if answer is None:
                    return Message("closed", {}, is_whole=False)
                await read_body(self.reader, answer, until_closed=True)
                return answer
        except TimeoutError:
            return Message("no-answer-in-time", {}, is_whole=False)
        except OSError as error:
            return Message(f"broken:{error}", {}, is_whole=False)


async def ask_once(
    host: str,
    port: int,
    start: str,
    headers: collections.abc.Mapping[str, str],
    *,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message:
    """Sends a request on a new connection; see `Connection.ask`."""
    connection = Connection(host, port)
    try:
        await connection.open()
    except (OSError, TimeoutError) as error:
        return Message(f"unreachable:{error}", {}, is_whole=False)
    try:
        return await connection.ask(start, headers, body, timeout_s)
    finally:
        connection.close()


def to_json(value: typing.Any) -> bytes:
    """Returns a JSON document."""
    return json.dumps(value).encode()
