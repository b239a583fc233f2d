from __future__ import annotations

import pathlib
import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from tests.store import conftest

from cactusstile.store import block_store
from cactusstile.store import disk
from cactusstile.store import exceptions


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.integers(1, 6),
            strategies.booleans(),
        ),
        max_size=30,
    )
)
def test_block_store_stays_bounded_and_keeps_usable_prefixes(
    steps: list[tuple[int, int, bool]],
) -> None:
    kept = conftest.make_block_store(1000)
    for first, count, free in steps:
        for block in conftest.make_blocks(count, first=first):
            try:
                record = kept.keep(conftest.SCOPE, block)
            except exceptions.RejectedBlockError:
                break
        if free and kept.records:
            kept.free(next(iter(kept.records.values())))
        assert kept.memory_bytes <= 1000
        assert kept.memory_bytes == 100 * len(kept.records)
        for record in kept.records.values():
            header = record.header
            assert not header.position or header.parent in kept.records


@pytest.mark.parametrize("freed", range(4))
def test_freeing_branches_leaves_their_common_prefix(freed: int) -> None:
    kept = conftest.make_block_store(1000)
    [prefix] = conftest.make_blocks(1)
    kept.keep(conftest.SCOPE, prefix)
    branches = []
    for first in (1, 2, 3):
        [other] = conftest.make_blocks(1, first=first)
        block = attrs.evolve(other, parent=prefix.key, position=1)
        branches.append(kept.keep(conftest.SCOPE, block))
    for record in branches[:freed]:
        assert kept.free(record) == 1
    left = [record.header.key for record in branches[freed:]]
    assert list(kept.records[prefix.key].children) == left
    assert kept.free(kept.records[prefix.key]) == 1 + len(left)
    assert not kept.records


def test_keep_again_raises_generation() -> None:
    kept = conftest.make_block_store(1000)
    [block] = conftest.make_blocks(1)
    old = kept.keep(conftest.SCOPE, block).header
    kept.free(kept.records[block.key])
    new = kept.keep(conftest.SCOPE, block).header
    assert new.generation > old.generation
    with pytest.raises(exceptions.UnknownBlockError):
        kept.read(old, 0, 100)


def test_disk_tier_survives_restart_without_damaged_files(
    tmp_path: pathlib.Path,
) -> None:
    first = conftest.make_block_store(
        300, 5000, disk_tier=disk.DiskTier(tmp_path)
    )
    chains = [conftest.make_blocks(4, first=n) for n in (0, 100, 200)]
    for block in [block for chain in chains for block in chain]:
        first.keep(conftest.SCOPE, block)
    first.flush()
    assert first.disk is not None
    torn = first.disk._path(chains[1][2].key)
    torn.write_bytes(torn.read_bytes()[:-1])
    newest = max(r.header.generation for r in first.records.values())

    again = conftest.make_block_store(
        300, 5000, disk_tier=disk.DiskTier(tmp_path)
    )
    found = [
        len(again.leading(conftest.SCOPE, [block.key for block in chain]))
        for chain in chains
    ]
    assert found == [4, 2, 4]
    header = again.records[chains[0][3].key].header
    assert again.read(header, 0, 100) == chains[0][3].data
    [fresh] = conftest.make_blocks(1, first=900)
    assert again.keep(conftest.SCOPE, fresh).header.generation > newest


def test_full_disk_loses_blocks_and_nothing_else(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tier = disk.DiskTier(tmp_path)
    kept = conftest.make_block_store(300, 5000, disk_tier=tier)

    def refuse(header: disk.Header, data: bytes) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(tier, "write", refuse)
    for block in conftest.make_blocks(10):
        try:
            kept.keep(conftest.SCOPE, block)
        except exceptions.RejectedBlockError:
            break
    assert 0 < kept.memory_bytes <= 300
    assert not tier.used_bytes


def _served_share(value: block_store.Value | None, seed: int) -> float:
    """Returns the share of returns that find their block.

    One workspace returns after gaps with a heavy tail, the other runs each
    prompt once, three times as many.
    """
    rng = random.Random(seed)
    now_s = 0.0
    kept = block_store.BlockStore(
        block_store.Bounds(20_000, 0), lambda: now_s, value=value
    )
    visits = []
    for first in range(1200):
        at_s = rng.uniform(0, 10_000)
        if first % 4:
            visits.append((at_s, "once", first))
            continue
        while at_s < 20_000:
            visits.append((at_s, "returns", first))
            at_s += 60 * rng.paretovariate(0.8)
    visits.sort()
    seen = set()
    returns = found = 0
    for at_s, workspace, first in visits:
        now_s = at_s
        scope = conftest.SCOPE._replace(workspace=workspace)
        [block] = conftest.make_blocks(1, first=first, scope=scope)
        record = kept.find(scope, block.key)
        if first in seen:
            returns += 1
            found += record is not None
        seen.add(first)
        if record is not None:
            kept.visit(record)
            continue
        try:
            kept.keep(scope, block)
        except exceptions.RejectedBlockError:
            continue
    return found / returns


def _least_recent(record: block_store.Record, now_s: float) -> float:
    return -(now_s - record.visited_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_eviction_by_expected_return_beats_least_recently_used(
    seed: int,
) -> None:
    assert _served_share(None, seed) > _served_share(_least_recent, seed)
