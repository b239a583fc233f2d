"""Whatever the platform, targets, stores and operators send is refused or used.

STRANGE_INPUTS is the number of inputs of each kind.
"""

from __future__ import annotations

import json
import os
import typing

import anyio
import h11
import hypothesis
from hypothesis import strategies
from tests.platform import test_configurations
from tests.platform import test_listings

from cactusstile.control import commands
from cactusstile.gateway import site_view
from cactusstile.http import messages as http_messages
from cactusstile.platform import calls
from cactusstile.platform import configurations
from cactusstile.platform import headers
from cactusstile.platform import listings
from cactusstile.platform import loads
from cactusstile.platform import notices
from cactusstile.platform import stores
from cactusstile.registry import operator_calls
from cactusstile.registry import store_contents
from cactusstile.registry import store_eviction
from cactusstile.sites import builds
from cactusstile.sites import discovery
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import codec

INPUTS = int(os.environ.get("STRANGE_INPUTS", "100"))
many = hypothesis.settings(max_examples=INPUTS, deadline=None)
ODD: list[typing.Any] = [
    *(None, True, False, 0, -1, 1, 0.5, -0.0, 1e308, 1e20, 10**400, -(10**400)),
    *(float("inf"), float("nan"), 2**31, 2**32, 2**53, 2**63, 2**64, -(2**63)),
    *("", " ", "\0", "\ud800", "a\r\nb: c", "\u2028", "x" * 2000, "1" * 5000),
    *("127.0.0.1:80", "[::1]:80", "127.0.0.1:99999", "fe80::1%\udcff:1"),
    *([], {}, [None], [[]], ["\udfff"], [{}], {"name": "\ud800"}),
]
odd_values = strategies.one_of(
    strategies.sampled_from(ODD),
    strategies.integers(),
    strategies.floats(),
    strategies.text(strategies.characters(exclude_categories=()), max_size=9),
)


def changed(content: typing.Any) -> strategies.SearchStrategy[typing.Any]:
    """Returns a strategy for documents of which some values are odd."""
    if isinstance(content, dict):
        parts = {name: changed(value) for name, value in content.items()}
        whole: typing.Any = strategies.fixed_dictionaries(parts)
    elif isinstance(content, list):
        whole = strategies.tuples(*map(changed, content)).map(list)
    else:
        whole = strategies.just(content)
    # Mostly valid, so that odd values get far.
    return strategies.integers(0, 11).flatmap(
        lambda number: odd_values if number == 11 else whole
    )


def as_json(content: typing.Any) -> bytes:
    return json.dumps(content).encode()


def check_targets(targets: tuple[model.Target, ...]) -> None:
    """Checks that the system's messages carry what was listed."""
    items = tuple(messages.encode_target(target) for target in targets)
    item = messages.TargetList(items)
    decoded = codec.decode(codec.number_of(type(item)), codec.encode(item))
    assert isinstance(decoded, messages.TargetList)
    assert tuple(map(messages.decode_target, decoded.targets)) == targets
    commands.pack(builds.RecordBuilds(builds.find_changes((), targets, 9)))
    json.dumps(discovery.describe_change((), targets)).encode()
    for target in targets:
        assert str(target.address).isascii()
        for weights in (*target.weights, model.Weights("m", 1)):
            order = calls.swap_request(
                target,
                weights,
                mode=calls.SwapMode.GO_ON,
                holder="r",
                fence=1,
                expected_orders=1,
            )
            h11.Request(
                method=order.method,
                target=order.target,
                headers=list(order.headers),
            )


PAGE = {
    "instances": [test_listings.ENTRY, {**test_listings.ENTRY, "id": "i-2"}],
    "next": "p",
}


@many
@hypothesis.given(changed(PAGE))
def test_strange_list_is_neither_refused_nor_usable(page: typing.Any) -> None:
    try:
        decoded = listings.decode_page(as_json(page))
    except ValueError:
        return
    check_targets(decoded.targets)
    calls.list_request(decoded.next_page)
    decoded.reason.encode("ascii", "backslashreplace")

    async def apply() -> None:
        site = site_view.SiteView()
        site.replace_targets(decoded.targets, anyio.current_time())
        site.replace_configuration(test_configurations.decode())

    anyio.run(apply)


ENGINES = {
    "name": "e",
    "maxConnections": 9,
    "coldStartS": 1,
    "coldPerS": 2,
    "engine": {
        "slots": 4,
        "kvCapacity": 9000,
        "kvTokenBytes": 100,
        "models": [{"name": "m"}],
        "backups": True,
    },
}
STORE = {
    "name": "k",
    "kvStoreAddr": "127.0.0.1:9",
    "zone": "z",
    "kvCapacity": 900,
}
CONFIGURATION = test_configurations.document(
    services=[{"name": "s"}, ENGINES, STORE]
)


@many
@hypothesis.given(changed(CONFIGURATION))
def test_strange_configuration_is_neither_refused_nor_in_force(
    content: typing.Any,
) -> None:
    try:
        decoded = configurations.decode(as_json(content))
    except model.InvalidConfigurationError as error:
        str(error).encode("ascii", "backslashreplace")
        return
    configurations.canonical(as_json(content))

    async def apply() -> None:
        site = site_view.SiteView()
        page = listings.decode_page(as_json({**PAGE, "next": None}))
        site.replace_targets(page.targets, anyio.current_time())
        assert site.replace_configuration(decoded)
        for workspace in decoded.workspaces or ():
            for key in workspace.keys:
                assert site.table is not None
                assert site.table.find_workspace(key) is not None

    anyio.run(apply)


PART = ["w/m/3", "p", 30, 1]
CONTENTS = {"bootEpoch": 3, "next": 9, "held": [PART, PART]}
EVENTS = {
    "bootEpoch": 3,
    "next": 10,
    "lost": False,
    "clock_ms": 1000.5,
    "events": [[9, "save", "w/m/3", "q", 30, 1], [10, "free", *PART]],
}


@many
@hypothesis.given(changed(CONTENTS), changed(EVENTS))
def test_strange_store_is_neither_refused_nor_told(
    listed: typing.Any, changes: typing.Any
) -> None:
    contents = store_contents.StoreContents("127.0.0.1:9")
    try:
        contents.replace_parts(stores.decode_contents(as_json(listed)))
        events = stores.decode_events(as_json(changes))
        stores.events_request(events.next_event, 10)
        contents.apply_events(events)
    except ValueError:
        pass
    store_eviction.outdated_parts(contents.parts, {"m": 9})
    evicted = store_eviction.surplus_parts(contents, 40)
    contents.retire(evicted)
    contents.clock_ms += 1e6
    stores.free_request(contents.freeable_parts(), 1, 1.0)
    for update in (contents.collect_update(), contents.full_update()):
        codec.encode(messages.StoreUpdates((update,)))


REPORT = {
    "models": [{"name": "m", "version": 3}],
    "busy": False,
    "seq": 3,
    "active": 1,
    "queued": 2,
    "born": 17,
}


@many
@hypothesis.given(
    changed(REPORT), changed({"model": "m", "version": 3, "id": "h"})
)
def test_strange_report_or_call_raises(
    report: typing.Any, call: typing.Any
) -> None:
    for decode, content in (
        (listings.decode_report, report),
        (calls.decode_weights, call),
        (operator_calls.decode_release, call),
    ):
        try:
            decoded = decode(as_json(content))
        except ValueError:
            continue
        if isinstance(decoded, model.Weights):
            named = messages.NamedWeights(decoded.model, decoded.version)
            codec.encode(named)
        elif isinstance(decoded, str):
            decoded.encode()


FIELDS = (headers.LOAD, headers.LIMIT, headers.RETRY_AFTER, headers.LEAVING)
field_values = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.from_regex(rb"[-0-9.,eE ]{0,40}", fullmatch=True),
)


@many
@hypothesis.given(strategies.sampled_from(FIELDS), field_values)
def test_strange_notice_of_a_target_raises(name: bytes, value: bytes) -> None:
    head = http_messages.ResponseHead(503, ((name, value),))
    notices.is_leaving(head)
    assert 0 <= notices.pause_s(head) < 1e9
    assert 0 <= (notices.limit_per_s(head) or 0) < 1e9
    loads.find(head)


@many
@hypothesis.given(strategies.binary(max_size=60))
def test_strange_path_of_an_operator_raises(path: bytes) -> None:
    prefixes = (b"/-/Evacuations.Start/", b"/evacuations/", b"/")
    for prefix in prefixes:
        request = http_messages.Request(b"POST", prefix + path, ())
        call = operator_calls.find(request)
        command = getattr(call, "command", None)
        if command is not None:
            commands.pack(command)
