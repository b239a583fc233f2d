from __future__ import annotations

import json
import typing

import pytest

from cactusstile.platform import configurations
from cactusstile.sites import model


def document(**changes: typing.Any) -> dict[str, typing.Any]:
    route = {
        "name": "r",
        "host": "H.example",
        "pathPrefix": "/a/",
        "kind": "streaming",
        "timeoutMs": 4000,
        "targetLatencyMs": 600,
        "priority": 1,
        "trafficSplit": [{"service": "s", "weight": 90}],
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 300,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    content = {
        "version": 7,
        "routes": [route],
        "services": [{"name": "s", "unknownField": 1}],
        "limits": limits,
        "tenants": [{"name": "w", "apiKeys": ["k"], "priority": 1}],
    }
    return {**content, **changes}


def decode(**changes: typing.Any) -> model.SiteConfiguration:
    return configurations.decode(json.dumps(document(**changes)).encode())


def test_all_fields_of_a_configuration_are_decoded() -> None:
    configuration = decode()
    assert configuration.version == 7
    assert configuration.workspaces == (model.Workspace("w", ("k",), 1),)
    route = configuration.routes[0]
    assert (route.host, route.timeout_s, route.gap_s) == ("h.example", 4.0, 0.3)
    assert route.kind is model.Kind.STREAM
    assert route.may_repeat


def test_configuration_without_workspaces_needs_no_keys() -> None:
    content = document()
    del content["tenants"]
    configuration = configurations.decode(json.dumps(content).encode())
    assert configuration.workspaces is None


def changed_route(**changes: typing.Any) -> dict[str, typing.Any]:
    return {"routes": [{**document()["routes"][0], **changes}]}


@pytest.mark.parametrize(
    "changes",
    [
        changed_route(timeoutMs=0),
        changed_route(trafficSplit=[{"service": "other", "weight": 1}]),
        changed_route(trafficSplit=[{"service": "s", "weight": 0}]),
        changed_route(trafficSplit=[]),
        changed_route(kind="other"),
        changed_route(host=3),
        {"routes": document()["routes"] * 2},
        {"version": "7"},
        {"version": True},
        {"limits": None},
        {"services": {}},
        {
            "tenants": [
                {"name": "a", "apiKeys": ["k"]},
                {"name": "b", "apiKeys": ["k"]},
            ]
        },
    ],
)
def test_invalid_configuration_is_refused(
    changes: dict[str, typing.Any],
) -> None:
    with pytest.raises(model.InvalidConfigurationError):
        decode(**changes)


@pytest.mark.parametrize("cut", [0, 1, 40, 400])
def test_truncated_configuration_is_refused(cut: int) -> None:
    content = json.dumps(document()).encode()
    with pytest.raises(model.InvalidConfigurationError):
        configurations.decode(content[:cut])


# Guards against a document that is acknowledged, and read back, though other
# readers of JSON refuse it.
@pytest.mark.parametrize("word", [b"NaN", b"Infinity", b"-Infinity"])
def test_document_with_a_word_that_is_no_json_is_accepted(word: bytes) -> None:
    text = json.dumps(document(future="word")).encode()
    with pytest.raises(model.InvalidConfigurationError):
        configurations.decode(text.replace(b'"word"', word))


@pytest.mark.parametrize("encoding", ["utf-16", "utf-32"])
def test_document_in_another_encoding_is_accepted(encoding: str) -> None:
    with pytest.raises(model.InvalidConfigurationError):
        configurations.decode(json.dumps(document()).encode(encoding))


def test_equal_contents_have_the_same_canonical_form() -> None:
    content = document()
    reordered = dict(reversed(content.items()))
    canonical = [
        configurations.canonical(json.dumps(variant, indent=indent).encode())
        for variant, indent in ((content, None), (reordered, 2))
    ]
    assert canonical[0] == canonical[1]


@pytest.mark.parametrize(
    "changes",
    [
        {"tenants": [{"name": "w", "apiKeys": ["\ud83d"]}]},
        {"tenants": [{"name": "\ud83d", "apiKeys": ["k"]}]},
        {"tenants": [{"name": "w\n", "apiKeys": ["k"]}]},
        {"services": [{"name": "s"}, {"name": "\udcff"}]},
        {"version": 10**400},
        changed_route(timeoutMs=10**400),
        changed_route(allowedRegions=["\udcff"]),
    ],
)
def test_acknowledged_configuration_is_never_in_force(
    changes: dict[str, typing.Any],
) -> None:
    with pytest.raises(model.InvalidConfigurationError):
        decode(**changes)
