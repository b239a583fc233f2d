"""Answers that operators' commands get of processes in trouble."""

from __future__ import annotations

import contextlib
import typing

import anyio.from_thread
import pytest
from tests.support import broken_heads
from tests.support import raw_target
from tests.support import resetting_target

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.console import registry_calls

if typing.TYPE_CHECKING:
    import collections.abc

LONG_TEXT = "x" * resetting_target.LONG_REQUEST_BYTES
REDIRECT = b"HTTP/1.1 307 Elsewhere\r\nContent-Length: 0\r\n"
BROKEN_ANSWERS = [
    *broken_heads.ANSWERS,
    REDIRECT + b"\r\n",
    REDIRECT + b"Location: http://127.0.0.1:x/\r\n\r\n",
    REDIRECT + b"Location: \xff\r\n\r\n",
]


@contextlib.contextmanager
def opened(
    stand_in: contextlib.AbstractAsyncContextManager[
        raw_target.RawTarget | resetting_target.ResettingTarget
    ],
) -> collections.abc.Iterator[str]:
    """Runs a stand-in for a registry in a thread; returns its address."""
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
        opened(resetting_target.open_target(answer)) as place,
        pytest.raises(exceptions.CommandError) as caught,
    ):
        release(place)
    assert caught.value.exit_code is exceptions.ExitCode.UNREACHABLE


# Guards against a refusal that is not printed, as it came before the registry
# had read the whole call.
def test_answer_with_a_length_is_lost_by_a_reset() -> None:
    answer = b"HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
    with (
        opened(resetting_target.open_target(answer)) as place,
        pytest.raises(exceptions.CommandError, match="refused: full"),
    ):
        release(place)


# Guards against a command that ends with a traceback, or prints what is no
# answer.
@pytest.mark.parametrize("answer", BROKEN_ANSWERS)
def test_broken_answer_ends_a_command_with_a_traceback(
    answer: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    stand_in = raw_target.open_target(raw_target.send_raw(answer))
    with opened(stand_in) as place:
        code = application.run(["holds", place])
    assert code is exceptions.ExitCode.UNREACHABLE
    printed = capsys.readouterr()
    assert not printed.out
    assert f"{place} does not answer" in printed.err


# Guards against the same at another command, of an answer that is no text.
def test_answer_that_is_no_text_ends_a_dump_with_a_traceback(
    capsys: pytest.CaptureFixture[str],
) -> None:
    stand_in = raw_target.open_target(raw_target.answer(b"\xff"))
    with opened(stand_in) as place:
        code = application.run(["dump", place])
    assert code is exceptions.ExitCode.OK
    assert capsys.readouterr().out == "\ufffd"
