from __future__ import annotations

import json
import typing

import pytest

from cactusstile.platform import listings

ENTRY: dict[str, typing.Any] = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 500,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "id": "i-1",
    "born": 17,
}


def test_page_is_decoded() -> None:
    page = {"instances": [ENTRY], "next": "p-50"}
    decoded = listings.decode_page(json.dumps(page).encode())
    target = decoded.targets[0]
    assert target.incarnation == ("i-1", 17)
    assert target.weights[0].version == 3
    assert target.build == "v1"
    assert (target.cold_s, target.leaving) == (0.5, False)
    assert decoded.next_page == "p-50"


@pytest.mark.parametrize(
    "entry",
    [
        {**ENTRY, "state": "odd"},
        {**ENTRY, "id": 3},
        {**ENTRY, "id": ""},
        {**ENTRY, "address": "somewhere"},
        {**ENTRY, "slots": "many"},
        {**ENTRY, "born": 1.5},
        {**ENTRY, "models": [{"name": "m"}]},
        {"id": "i-2"},
        "torn",
        None,
    ],
)
def test_malformed_entry_is_skipped(entry: object) -> None:
    page = {"instances": [entry, {**ENTRY, "id": "i-9"}], "next": None}
    decoded = listings.decode_page(json.dumps(page).encode())
    assert [target.id for target in decoded.targets] == ["i-9"]
    assert decoded.skipped == 1


@pytest.mark.parametrize("body", [b"", b"[]", b'{"instances": {}}', b"\xff"])
def test_malformed_page_is_an_error(body: bytes) -> None:
    with pytest.raises(ValueError):  # noqa: PT011
        listings.decode_page(body)
