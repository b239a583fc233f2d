from __future__ import annotations

import errno
import pathlib
import random
import time

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
    stored = conftest.make_block_store(1000)
    for first, count, free in steps:
        for block in conftest.make_blocks(count, first=first):
            try:
                record = stored.keep(conftest.SCOPE, block)
            except exceptions.RejectedBlockError:
                break
        if free and stored.records:
            stored.free(next(iter(stored.records.values())))
        assert stored.memory_bytes <= 1000
        assert stored.memory_bytes == 100 * len(stored.records)
        for record in stored.records.values():
            header = record.header
            assert not header.position or header.parent in stored.records


@pytest.mark.parametrize("freed", range(4))
def test_freeing_branches_leaves_their_common_prefix(freed: int) -> None:
    stored = conftest.make_block_store(1000)
    [prefix] = conftest.make_blocks(1)
    stored.keep(conftest.SCOPE, prefix)
    branches = []
    for first in (1, 2, 3):
        [other] = conftest.make_blocks(1, first=first)
        block = attrs.evolve(other, parent=prefix.key, position=1)
        branches.append(stored.keep(conftest.SCOPE, block))
    for record in branches[:freed]:
        assert stored.free(record) == 1
    left = [record.header.key for record in branches[freed:]]
    assert list(stored.records[prefix.key].children) == left
    assert stored.free(stored.records[prefix.key]) == 1 + len(left)
    assert not stored.records


def test_block_kept_after_free_has_higher_generation() -> None:
    stored = conftest.make_block_store(1000)
    [block] = conftest.make_blocks(1)
    old = stored.keep(conftest.SCOPE, block).header
    stored.free(stored.records[block.key])
    new = stored.keep(conftest.SCOPE, block).header
    assert new.generation > old.generation
    with pytest.raises(exceptions.UnknownBlockError):
        stored.read(old, 0, 100)


def test_restart_recovers_disk_tier_without_damaged_files(
    tmp_path: pathlib.Path,
) -> None:
    first = conftest.make_block_store(
        300, 5000, disk_tier=disk.DiskTier(tmp_path)
    )
    prompts = [conftest.make_blocks(4, first=n) for n in (0, 100, 200)]
    for block in [block for prompt in prompts for block in prompt]:
        first.keep(conftest.SCOPE, block)
    first.flush()
    assert first.disk is not None
    truncated = first.disk._path(prompts[1][2].key)
    truncated.write_bytes(truncated.read_bytes()[:-1])
    newest = max(r.header.generation for r in first.records.values())

    reopened = conftest.make_block_store(
        300, 5000, disk_tier=disk.DiskTier(tmp_path)
    )
    found = [
        len(reopened.leading(conftest.SCOPE, [block.key for block in prompt]))
        for prompt in prompts
    ]
    assert found == [4, 2, 4]
    header = reopened.records[prompts[0][3].key].header
    assert reopened.read(header, 0, 100) == prompts[0][3].data
    [new_block] = conftest.make_blocks(1, first=900)
    assert reopened.keep(conftest.SCOPE, new_block).header.generation > newest


def test_full_disk_drops_blocks_and_stays_bounded(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tier = disk.DiskTier(tmp_path)
    stored = conftest.make_block_store(300, 5000, disk_tier=tier)

    def fail_write(header: disk.Header, data: bytes) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(tier, "write", fail_write)
    for block in conftest.make_blocks(10):
        try:
            stored.keep(conftest.SCOPE, block)
        except exceptions.RejectedBlockError:
            break
    assert 0 < stored.memory_bytes <= 300
    assert not tier.used_bytes


def _hit_fraction(value: block_store.Value | None, seed: int) -> float:
    """Returns the fraction of returns that find their block in the store.

    One workspace returns after heavy-tailed gaps. The other has three times as
    many prompts and requests each of them once.
    """
    rng = random.Random(seed)
    now_s = 0.0
    stored = block_store.BlockStore(
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
        record = stored.find(scope, block.key)
        if first in seen:
            returns += 1
            found += record is not None
        seen.add(first)
        if record is not None:
            stored.visit(record)
            continue
        try:
            stored.keep(scope, block)
        except exceptions.RejectedBlockError:
            continue
    return found / returns


def _least_recently_used(record: block_store.Record, now_s: float) -> float:
    return -(now_s - record.visited_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_eviction_by_expected_return_beats_least_recently_used(
    seed: int,
) -> None:
    assert _hit_fraction(None, seed) > _hit_fraction(_least_recently_used, seed)


def test_store_starts_on_a_full_disk(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(path: pathlib.Path, chunks: list[bytes]) -> None:
        raise OSError(errno.ENOSPC, "no space left", str(path), chunks)

    monkeypatch.setattr(disk, "_write_atomically", refuse)
    stored = conftest.make_block_store(
        300, 5000, disk_tier=disk.DiskTier(tmp_path)
    )
    [block] = conftest.make_blocks(1)
    assert stored.keep(conftest.SCOPE, block) in stored.records.values()


@pytest.mark.parametrize("has_disk", [True, False])
def test_generations_do_not_repeat_after_a_restart(
    tmp_path: pathlib.Path, has_disk: bool
) -> None:
    generations = set()
    [block] = conftest.make_blocks(1)
    for _ in range(3):
        tier = disk.DiskTier(tmp_path) if has_disk else None
        stored = conftest.make_block_store(300, 5000, disk_tier=tier)
        record = stored.keep(conftest.SCOPE, block)
        generations.add(record.header.generation)
        # A file at the top of the folder may be torn by a loss of power.
        for path in tmp_path.iterdir():
            if path.is_file():
                path.write_bytes(b"")
    assert len(generations) == 3


def test_generations_increase_although_the_clock_is_set_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    newest = 0
    for now_ns, first in ((2_000_000, 0), (1_000_000, 100)):
        monkeypatch.setattr(time, "time_ns", lambda now_ns=now_ns: now_ns)
        stored = conftest.make_block_store(
            300, 5000, disk_tier=disk.DiskTier(tmp_path)
        )
        [block] = conftest.make_blocks(1, first=first)
        generation = stored.keep(conftest.SCOPE, block).header.generation
        stored.flush()
        assert generation > newest
        newest = generation
