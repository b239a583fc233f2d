from __future__ import annotations

import collections.abc
import time

import attrs
import pytest

from cactusstile.targets import exceptions
from cactusstile.targets import http

pytestmark = pytest.mark.anyio
PROCESSOR_LIMIT_S = 4.0


@attrs.define
class EndlessResponse:
    """A response whose body consists of `part` without end."""

    part: bytes
    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()

    async def aiter_stream(self) -> collections.abc.AsyncIterator[bytes]:
        end_s = time.process_time() + PROCESSOR_LIMIT_S
        while True:
            assert time.process_time() < end_s
            yield bytes(bytearray(self.part))


async def test_event_in_small_pieces_takes_bounded_processor_time() -> None:
    response = EndlessResponse(b"xx")
    with pytest.raises(exceptions.TargetError, match="too long"):
        async for _ in http._split_events(response):  # type: ignore[arg-type]
            pass
