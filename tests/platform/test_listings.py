from __future__ import annotations

import json
import typing

import pytest

from cactusstile.platform import listings
from cactusstile.sites import model

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


# Guards against a site without targets, as the list alone is read by a rule
# that knows no byte order mark.
def test_page_after_a_byte_order_mark_is_unreadable() -> None:
    page = json.dumps({"instances": [ENTRY]}).encode()
    decoded = listings.decode_page(b"\xef\xbb\xbf" + page)
    assert [target.id for target in decoded.targets] == ["i-1"]


# Guards against a target whose report is lost for one name that is no UTF-8.
def test_report_with_one_unreadable_name_is_unreadable() -> None:
    report = b'{"models": [{"name": "\xff", "version": 1},'
    report += b' {"name": "m", "version": 3}], "busy": false, "seq": 2}'
    decoded = listings.decode_report(report)
    assert decoded.orders == 2
    assert decoded.weights[1] == model.Weights("m", 3)


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


UNREADABLE: list[dict[str, typing.Any]] = [
    {"id": "\udcff\udcfe"},
    {"id": "i\r\nx: y"},
    {"id": " i"},
    {"id": "i" * 501},
    {"service": "\ud83d"},
    {"zone": "\ud83d"},
    {"version": "\udcff"},
    {"address": "[fe80::1%\udcff]:80"},
    {"address": "[fe80::1%eth0]:80"},
    {"slots": 1e20},
    {"slots": 10**400},
    {"slots": 2**32},
    {"born": 1e19},
    {"coldRemainingMs": 10**400},
    {"models": [{"name": "m", "version": -1}]},
    {"models": [{"name": "m", "version": 1e20}]},
    {"models": [{"name": "\udcff", "version": 1}]},
    {"models": [{"name": "m", "version": 1}] * 201},
]


@pytest.mark.parametrize("changes", UNREADABLE, ids=lambda one: str(one)[:40])
def test_entry_that_no_message_can_carry_becomes_a_target(
    changes: dict[str, typing.Any],
) -> None:
    """Guards against registries that end, and answers 500 for such entries."""
    page = {"instances": [{**ENTRY, **changes}, {**ENTRY, "id": "i-9"}]}
    decoded = listings.decode_page(json.dumps(page).encode())
    assert [target.id for target in decoded.targets] == ["i-9"]
    assert decoded.reason


def test_token_of_a_page_without_an_encoding_ends_the_process() -> None:
    page = {"instances": [ENTRY], "next": "\udcff"}
    with pytest.raises(ValueError, match="surrogate"):
        listings.decode_page(json.dumps(page).encode())


def test_report_with_a_number_beyond_floats_ends_the_process() -> None:
    report = json.dumps({"seq": 10**400})
    with pytest.raises(ValueError, match="range"):
        listings.decode_report(report.encode())
