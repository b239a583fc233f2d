from __future__ import annotations

import logging

import attrs
import pytest

from cactusstile.gateway import target_notices
from cactusstile.gateway import target_views
from cactusstile.gateway.engines import peer_parts
from cactusstile.gateway.engines import prompts
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.sites import model
from cactusstile.transport import address


def listed(name: str) -> model.Target:
    place = address.Address("127.0.0.1", 1)
    return model.Target(name, "plain", place, "here", 4)


def rejection(seconds: bytes) -> messages.ResponseHead:
    return messages.ResponseHead(503, ((b"retry-after", seconds),))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"-1",
        b"+1",
        b"nan",
        b"inf",
        b"1e3",
        b"0",
        b"1,2",
        b"soon",
        b"9999999999",
        b"Fri, 31 Dec 1999 23:59:59 GMT",
    ],
)
def test_nonsense_makes_a_target_pause(value: bytes) -> None:
    noted = target_notices.TargetNotices("t")
    noted.record(rejection(value), 10.0)
    assert noted.paused_until_s < 10.0


# Guards against notices that are taken for those of another target, since its
# id is sent as UTF-8 and read back as Latin-1.
def test_notice_of_a_target_with_other_than_ascii_letters_is_ignored() -> None:
    noted = target_notices.TargetNotices("zoë-1")
    identity = (headers.TARGET_ID, "zoë-1".encode())
    head = rejection(b"5")
    noted.record(attrs.evolve(head, headers=(*head.headers, identity)), 10.0)
    assert noted.paused_until_s == 15.0


def test_answer_that_is_no_rejection_makes_a_target_pause() -> None:
    noted = target_notices.TargetNotices("t")
    noted.record(attrs.evolve(rejection(b"5"), status=500), 10.0)
    assert noted.paused_until_s < 10.0


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0.30000000000000004", 0.3),
        (b"999999999", target_notices.MAX_PAUSE_S),
    ],
)
def test_pause_is_misread_or_unbounded(value: bytes, pause_s: float) -> None:
    noted = target_notices.TargetNotices("t")
    noted.record(rejection(value), 10.0)
    assert noted.paused_until_s == pytest.approx(10.0 + pause_s)


def test_later_rejection_shortens_a_pause() -> None:
    noted = target_notices.TargetNotices("t")
    noted.record(rejection(b"5"), 10.0)
    noted.record(rejection(b"1"), 11.0)
    assert noted.paused_until_s == 15.0


def test_parts_are_fetched_from_an_engine_within_its_pause() -> None:
    views = target_views.TargetViews()
    views.update((listed("a"), listed("b")), {}, 0.0)
    first, second = views.by_id["a"], views.by_id["b"]
    first.cached.add("s", prompts.Prompt(parts=(prompts.Part("x", 9),)))
    found = peer_parts.find_holder((first, second), second, ("s", "x"), 1.0)
    assert found is not None
    first.notices.record(rejection(b"5"), 1.0)
    found = peer_parts.find_holder((first, second), second, ("s", "x"), 1.0)
    assert found is None


def test_log_lines_of_pauses_pile_up(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "cactusstile")
    noted = target_notices.TargetNotices("t")
    for number in range(100):
        noted.record(rejection(b"0.1"), number * 0.2)
    assert len(caplog.messages) == 2
