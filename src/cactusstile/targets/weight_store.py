"""Client of the weight store's transfer limits."""

from __future__ import annotations

import json
import typing

import attrs

from cactusstile.targets import exceptions
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

CALL_TIMEOUT_S = 2.0


@attrs.frozen
class Limits:
    """Transfer limits of a weight store.

    Attributes:
      max_transfers: Maximum number of concurrent transfers.
      active: Number of transfers in progress.
    """

    max_transfers: int
    active: int


def parse_limits(data: bytes) -> Limits:
    """Returns the limits in a response of the store.

    >>> parse_limits(b'{"max_transfers": 2, "active": 1}')
    Limits(max_transfers=2, active=1)
    """
    body = json.loads(data)
    return Limits(int(body["max_transfers"]), int(body["active"]))


async def read_limits(
    target: http.HttpTarget,
    parse: collections.abc.Callable[[bytes], Limits] = parse_limits,
) -> Limits:
    """Returns the store's limits.

    Raises:
      TargetError: If the store did not return valid limits.
    """
    request = http.Request("GET", "/limits")
    response = await target.call_ok(request, timeout_s=CALL_TIMEOUT_S)
    try:
        return parse(response.body)
    except exceptions.MALFORMED as error:
        raise exceptions.TargetError(
            f"the weight store's answer is malformed: {error!r}", sent=True
        ) from error
