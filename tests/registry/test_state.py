from __future__ import annotations

import typing

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile.control import commands
from cactusstile.registry import commands as site_commands
from cactusstile.registry import state
from cactusstile.sites import documents


def replace(site: state.SiteState, version: int, content: bytes) -> str:
    command = site_commands.ReplaceConfiguration(version, content, content)
    result = commands.unpack_result(site.apply(1, commands.pack(command)))
    assert isinstance(result, site_commands.ConfigurationOutcome)
    return result.outcome


def test_highest_version_wins() -> None:
    site = state.SiteState()
    assert replace(site, 5, b"a") == "accepted"
    assert replace(site, 5, b"a") == "known"
    assert replace(site, 5, b"b") == "conflict"
    assert replace(site, 4, b"c") == "outdated"
    assert replace(site, 9, b"d") == "accepted"
    assert (site.image.version, site.image.document) == (9, b"d")


def test_lower_version_of_weights_is_ignored() -> None:
    site = state.SiteState()
    for version in (2, 1, 3):
        command = site_commands.NameWeights("m", version)
        site.apply(1, commands.pack(command))
    assert site.weights() == {"m": 3}


def test_malformed_command_is_refused() -> None:
    site = state.SiteState()
    result = site.apply(1, b"\xff\xff garbage")
    with pytest.raises(Exception, match="bad_request"):
        commands.unpack_result(result)


_CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 6), strategies.sampled_from([b"a", b"b", b"c"])
    )
)


@hypothesis.given(_CHANGES)
def test_first_content_of_the_highest_version_is_in_force(
    changes: list[tuple[int, bytes]],
) -> None:
    site = state.SiteState()
    accepted: dict[int, bytes] = {}
    for version, content in changes:
        outcome = replace(site, version, content)
        if outcome == "accepted":
            assert version > max(accepted, default=-1)
            accepted[version] = content
        if outcome == "known":
            assert accepted[version] == content
        restored = state.SiteState()
        restored.restore(site.snapshot())
        assert restored.image == site.image
        assert site.image.document == accepted[max(accepted)]


@pytest.mark.parametrize("data", [b"", b"no zlib", b"x\x9c"])
def test_malformed_document_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="document"):
        documents.decompress(data)


def test_decompressed_document_equals_the_original() -> None:
    original: typing.Final = b"a" * 100_000
    assert documents.decompress(documents.compress(original)) == original


def test_configuration_that_an_older_build_accepted_ends_a_registry() -> None:
    site = state.SiteState()
    content = b'{"version": 3, "tenants": [{"name": "\\ud83d"}]}'
    assert replace(site, 3, documents.compress(content)) == "accepted"
    assert site.stores() == ()
