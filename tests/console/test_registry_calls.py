"""Answers that operators' commands get of processes in trouble."""

from __future__ import annotations

import contextlib
import typing

import anyio.from_thread
import pytest
from tests.support import resetting_target

from cactusstile.console import exceptions
from cactusstile.console import registry_calls

if typing.TYPE_CHECKING:
    import collections.abc

# More than the operating system takes while a registry reads nothing.
LONG_TEXT = "x" * (8 << 20)


@contextlib.contextmanager
def open_resetting(answer: bytes) -> collections.abc.Iterator[str]:
    """Runs a registry that resets in a thread; returns its address."""
    stand_in = resetting_target.open_target(answer)
    with (
        anyio.from_thread.start_blocking_portal() as portal,
        portal.wrap_async_context_manager(stand_in) as running,
    ):
        yield str(running.target.address)


def release(place: str) -> str:
    return registry_calls.call(place, "POST", "/holds/release", id=LONG_TEXT)


# Guards against the start of an answer, without a length, that is printed as
# all of it.
def test_answer_reset_during_a_long_call_looks_whole() -> None:
    answer = b"HTTP/1.1 200 OK\r\n\r\nhalf of"
    with (
        open_resetting(answer) as place,
        pytest.raises(exceptions.CommandError) as caught,
    ):
        release(place)
    assert caught.value.exit_code is exceptions.ExitCode.UNREACHABLE


# Guards against a refusal that is not printed, as it came before the registry
# had read the whole call.
def test_answer_with_a_length_is_lost_by_a_reset() -> None:
    answer = b"HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
    with (
        open_resetting(answer) as place,
        pytest.raises(exceptions.CommandError, match="refused: full"),
    ):
        release(place)
