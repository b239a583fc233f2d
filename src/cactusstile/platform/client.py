"""Client for the calls of the platform and of targets."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.platform import calls
from cactusstile.platform import listings
from cactusstile.platform import stores
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

    MaySend = collections.abc.Callable[[], bool]

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.3
MAX_ANSWER_BYTES = 8 << 20
MAX_PAGES = 200
OK = 200


class CallError(Exception):
    """Raised when a call received no usable answer.

    Attributes:
      status: HTTP status of the answer; 0 for no answer.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        """Creates the error; see the attributes."""
        super().__init__(message)
        self.status = status


class Client:
    """Makes calls to the platform and to targets.

    Attributes:
      pool: Connection pool of the calls.
      skipped: Count of the entries of the last list that cannot be read.
    """

    def __init__(self, pool: targets.Pool) -> None:
        """Creates a client that calls over `pool`."""
        self.pool = pool
        self.skipped = 0

    async def list_targets(
        self, platform: address.Address
    ) -> tuple[model.Target, ...]:
        """Returns all targets in the platform's list that can be read.

        Raises:
          CallError: A page of the list could not be read.
        """
        listed: list[model.Target] = []
        token = ""
        skipped = 0
        reason = ""
        for _ in range(MAX_PAGES):
            body = await self._read(platform, calls.list_request(token))
            page = _decode(listings.decode_page, body)
            listed.extend(page.targets)
            skipped += page.skipped
            reason = reason or page.reason
            token = page.next_page
            if not token:
                self._record_skipped(skipped, reason)
                return tuple(listed)
        raise CallError(f"target list has more than {MAX_PAGES} pages")

    def _record_skipped(self, skipped: int, reason: str) -> None:
        """Logs how many entries cannot be read, whenever that changes."""
        if skipped != self.skipped:
            logger.warning(
                "entries of the target list cannot be read",
                extra={"entries": skipped, "first": reason},
            )
        self.skipped = skipped

    async def read_report(self, target: model.Target) -> listings.Report:
        """Returns the report of a target.

        Raises:
          CallError: The target returned no usable answer.
        """
        body = await self._read(target.address, calls.report_request(target))
        return _decode(listings.decode_report, body)

    async def list_parts(self, store: model.Store) -> stores.Contents:
        """Returns all parts that a store holds completely.

        Raises:
          CallError: The store returned no usable answer.
        """
        body = await self._read(store.address, stores.list_request())
        return _decode(stores.decode_contents, body)

    async def read_events(
        self, store: model.Store, since: int, wait_ms: int
    ) -> stores.Events:
        """Returns changes of a store's contents, by long polling.

        Args:
          store: The store.
          since: Number of the first event to return.
          wait_ms: Longest time that the store waits for an event.

        Raises:
          CallError: The store returned no usable answer.
        """
        request = stores.events_request(since, wait_ms)
        body = await self._read(store.address, request, wait_ms / 1000)
        return _decode(stores.decode_events, body)

    async def free_parts(
        self,
        store: model.Store,
        request: messages.Request,
    ) -> int:
        """Sends a request to free parts; returns the status of the answer.

        Raises:
          CallError: No answer was received; the parts may have been freed.
        """
        status, _ = await self._call(store.address, request)
        return status

    async def send_order(
        self,
        target: model.Target,
        request: messages.Request,
        may_send: MaySend,
    ) -> int:
        """Sends an order; returns the status of the answer.

        Args:
          target: The target.
          request: The order.
          may_send: Returns whether the order may be sent, once there is a
            connection: the process may have stood still until then.

        Raises:
          CallError: No answer was received; the target may execute the order
            later.
        """
        status, _ = await self._call(target.address, request, may_send=may_send)
        return status

    async def _read(
        self,
        target: address.Address,
        request: messages.Request,
        wait_s: float = 0.0,
    ) -> bytes:
        status, body = await self._call(target, request, wait_s)
        if status != OK:
            raise CallError(f"{target} answered {status}", status)
        return body

    async def _call(
        self,
        target: address.Address,
        request: messages.Request,
        wait_s: float = 0.0,
        may_send: MaySend = lambda: True,
    ) -> tuple[int, bytes]:
        try:
            with anyio.fail_after(CALL_TIMEOUT_S + wait_s):
                connection = await self.pool.take(target, CONNECT_TIMEOUT_S)
                try:
                    if not may_send():
                        raise CallError(f"{target}: not allowed any more")
                    head = await connection.ask(request, lambda _: True)
                    body = await connection.read_full_body(MAX_ANSWER_BYTES)
                finally:
                    self.pool.give_back(connection)
        except (exceptions.HttpError, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            raise CallError(f"{target}: {reason}") from error
        return head.status, body


_T = typing.TypeVar("_T")


def _decode(decode: collections.abc.Callable[[bytes], _T], body: bytes) -> _T:
    try:
        return decode(body)
    except (ValueError, RecursionError) as error:
        raise CallError(f"malformed answer: {error}") from error
