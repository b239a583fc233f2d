"""HTTP calls to one external process, with bounds on time and size."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs
import httpcore

from cactusstile.http import events
from cactusstile.http import exceptions as http_exceptions
from cactusstile.targets import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 512
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_ERROR_BYTES = 1024 * 1024
MIN_ERROR_STATUS = 300
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_TRANSFER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)

Headers: typing.TypeAlias = "collections.abc.Sequence[tuple[str, str]]"


@attrs.frozen
class Request:
    """One HTTP request.

    Attributes:
      method: HTTP method.
      path: Path and query.
      body: Body of the request.
      headers: Headers other than Host and Content-Length.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Response:
    """One complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HttpTarget:
    """Connections to one external process.

    Attributes:
      url: Base address, "http://host:port".
    """

    def __init__(self, url: str, connections: httpcore.AsyncConnectionPool):
        """Creates a target at `url`; callers use `open_target` instead."""
        self.url = url.rstrip("/")
        self._base = httpcore.URL(self.url)
        self._connections = connections

    async def call(
        self,
        request: Request,
        *,
        timeout_s: float,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Returns the complete response, regardless of its status.

        Args:
          request: The request.
          timeout_s: Timeout of the complete call.
          max_bytes: Maximum size of the response body.

        Raises:
          TargetError: If the response was not complete within the bounds.
        """
        with anyio.move_on_after(timeout_s):
            return await self._call(request, timeout_s, max_bytes)
        raise exceptions.TargetError(
            f"{request.method} {self.url} did not answer completely "
            f"within {timeout_s:.3f} s",
            sent=True,
        )

    async def _call(
        self, request: Request, timeout_s: float, max_bytes: int
    ) -> Response:
        async with self.open_call(request, timeout_s=timeout_s) as response:
            body = await _read_body(response, max_bytes)
            headers = tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers
            )
            return Response(response.status, headers, body)

    async def call_ok(self, request: Request, *, timeout_s: float) -> Response:
        """Returns the complete response to a call that must succeed.

        Raises:
          TargetStatusError: If the response has an error status.
          TargetError: If the response was not complete within the bounds.
        """
        response = await self.call(request, timeout_s=timeout_s)
        if response.status >= MIN_ERROR_STATUS:
            raise _status_error(request, response.status, response.body)
        return response

    @contextlib.asynccontextmanager
    async def open_events(
        self, request: Request, *, timeout_s: float
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[bytes]]:
        """Opens a call and yields the events of its response.

        Args:
          request: The request.
          timeout_s: Maximum time between two parts of the response.

        Raises:
          TargetStatusError: If the response has an error status.
          TargetError: If the target is unreachable or the response breaks.
        """
        async with self.open_call(request, timeout_s=timeout_s) as response:
            if response.status >= MIN_ERROR_STATUS:
                body = await _read_body(response, MAX_ERROR_BYTES)
                raise _status_error(request, response.status, body)
            yield _split_events(response)

    @contextlib.asynccontextmanager
    async def open_call(
        self, request: Request, *, timeout_s: float
    ) -> collections.abc.AsyncIterator[httpcore.Response]:
        """Opens a call; HTTP errors in the context raise `TargetError`."""
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        endpoint = f"{request.method} {self.url}"
        try:
            async with self._connections.stream(
                request.method,
                self._locate(request.path),
                headers=_encode(request.headers),
                content=request.body,
                extensions={"timeout": timeouts},
            ) as response:
                yield response
        except _CONNECT_ERRORS as error:
            text = f"{endpoint} is unreachable: {error!r}"
            raise exceptions.TargetError(text, sent=False) from error
        except httpcore.PoolTimeout as error:
            text = f"{endpoint} has no free connection"
            raise exceptions.TargetError(text, sent=False) from error
        except _TRANSFER_ERRORS as error:
            text = f"{endpoint} was interrupted: {error!r}"
            raise exceptions.TargetError(text, sent=True) from error

    def _locate(self, path: str) -> httpcore.URL:
        """Returns the URL of a path, which is sent as it is."""
        prefix = self._base.target.rstrip(b"/")
        return httpcore.URL(
            scheme=self._base.scheme,
            host=self._base.host,
            port=self._base.port,
            target=prefix + path.encode("latin-1"),
        )


@contextlib.asynccontextmanager
async def open_target(
    url: str,
) -> collections.abc.AsyncIterator[HttpTarget]:
    """Opens the connection pool of one external process."""
    async with httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS, keepalive_expiry=30.0
    ) as connections:
        yield HttpTarget(url, connections)


def _encode(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns header fields as bytes; they are read as Latin-1, too."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]


def _status_error(
    request: Request, status: int, body: bytes
) -> exceptions.TargetStatusError:
    detail = body[:200].decode(errors="replace")
    return exceptions.TargetStatusError(
        f"{request.method} {request.path} answered {status}: {detail}", status
    )


async def _read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    parts = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > max_bytes:
            raise exceptions.TargetError(
                f"answer is longer than {max_bytes} bytes", sent=True
            )
        parts.append(part)
    return b"".join(parts)


async def _split_events(
    response: httpcore.Response,
) -> collections.abc.AsyncIterator[bytes]:
    splitter = events.EventSplitter()
    try:
        async for part in response.aiter_stream():
            for event in splitter.feed(part):
                yield event
    except http_exceptions.MalformedError as error:
        raise exceptions.TargetError(
            "event of the answer is too long", sent=True
        ) from error
    for event in splitter.finish():
        yield event
