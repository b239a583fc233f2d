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


# Guards against a store that holds nothing for gateways, as one of its parts
# has a salt of another writer that is no UTF-8.
def test_one_unreadable_salt_hides_all_parts_of_a_store() -> None:
    held = b'["\xff", "p", 1, "m"], ["s", "q", 2, "m"]'
    contents = b'{"bootEpoch": 1, "next": 1, "held": [%b]}' % held
    assert stores.decode_contents(contents).parts[1].id == "q"
    changes = b'[0, "+", "\xff", "p", 1, "m"], [1, "+", "s", "q", 2, "m"]'
    events = b'{"bootEpoch": 1, "next": 1, "lost": false, "clock_ms": 1,'
    events += b' "events": [%b]}' % changes
    assert stores.decode_events(events).changes[1].id == "q"


def test_salt_with_an_endless_number_ends_a_registry() -> None:
    assert salts.weights_of("a/m/" + "1" * 5000) is None
