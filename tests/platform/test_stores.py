from __future__ import annotations

import json
import typing

import pytest

from cactusstile.platform import stores
from cactusstile.sites import salts


@pytest.mark.parametrize(
    "part",
    [
        ["\udcff", "p", 1],
        ["s", "\udcff", 1],
        ["s", "p", -1],
        ["s", "p", 2**32],
        ["s", "p", 10**400],
        ["s", "p", float("inf")],
        ["s", "p", float("nan")],
        ["s", "p", True],
    ],
)
def test_part_that_no_message_can_carry_cuts_off_all_gateways(
    part: list[typing.Any],
) -> None:
    contents = {"bootEpoch": 1, "next": 1, "held": [[*part, 0]]}
    with pytest.raises(ValueError):  # noqa: PT011
        stores.decode_contents(json.dumps(contents).encode())
    changes = {"bootEpoch": 1, "next": 1, "lost": False, "clock_ms": 1}
    events = {**changes, "events": [[0, "save", *part, 0]]}
    with pytest.raises(ValueError):  # noqa: PT011
        stores.decode_events(json.dumps(events).encode())


def test_salt_with_an_endless_number_ends_a_registry() -> None:
    assert salts.weights_of("a/m/" + "1" * 5000) is None
