from __future__ import annotations

import zlib

import anyio
import anyio.lowlevel
import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.transport import address

NAMES = st.sampled_from(["a", "b", "c", "d"])


def _by_name(parts: list[model.Workspace]) -> dict[str, model.Workspace]:
    return {part.name: part for part in parts}


FLEETS = st.builds(
    model.Fleet,
    name=NAMES,
    workspaces=st.lists(
        st.builds(
            model.Workspace,
            NAMES,
            st.lists(st.text(max_size=4), max_size=2).map(tuple),
            st.floats(0.1, 9),
        )
    ).map(_by_name),
    targets=st.dictionaries(NAMES, st.integers(1, 9)).map(
        lambda ports: {
            name: model.Target(
                name,
                model.TargetKind.STORE,
                address.Address("127.0.0.1", port),
                "ikeja",
            )
            for name, port in ports.items()
        }
    ),
    links=st.dictionaries(st.tuples(NAMES, NAMES), st.floats(1, 9)).map(
        lambda links: {ends: model.Link(ends, x) for ends, x in links.items()}
    ),
)


@hypothesis.given(old=FLEETS, new=FLEETS)
def test_delta_produces_new_content_and_digest(
    old: model.Fleet, new: model.Fleet
) -> None:
    change = delta.unpack(delta.pack(delta.diff(old, new)))
    before = encoding.content_digest(old)
    fleet, digest = delta.apply_delta(old, before, change, 5)
    assert attrs.evolve(fleet, revision=0) == new
    assert digest == encoding.content_digest(new)
    assert bool(change) == (old != new)


@hypothesis.given(first=FLEETS, second=FLEETS, third=FLEETS)
def test_composed_delta_leads_on_from_each_fleet_in_between(
    first: model.Fleet, second: model.Fleet, third: model.Fleet
) -> None:
    composed = delta.compose(
        [delta.diff(first, second), delta.diff(second, third)]
    )
    for start in (first, second):
        digest = encoding.content_digest(start)
        fleet, digest = delta.apply_delta(start, digest, composed, 5)
        assert attrs.evolve(fleet, revision=0) == third
        assert digest == encoding.content_digest(third)


@pytest.mark.anyio
async def test_whole_fleet_is_packed_and_taken_without_holding_the_loop() -> (
    None
):
    names = [f"w{number}" for number in range(1000)]
    fleet = model.Fleet(
        "lagos", 7, {name: model.Workspace(name, ("h",)) for name in names}
    )
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        group.start_soon(count_turns)
        body = await delta.pack_fleet(fleet)
        assert turns >= 7
        turns = 0
        empty = model.Fleet()
        applied, digest = await delta.apply_in_chunks(
            empty, encoding.content_digest(empty), delta.unpack(body), 7
        )
        assert turns >= 7
        group.cancel_scope.cancel()
    assert applied == fleet
    assert digest == encoding.content_digest(fleet)


def test_delta_size_is_proportional_to_the_change() -> None:
    def make(count: int) -> model.Fleet:
        workspaces = {
            f"w{i}": model.Workspace(f"w{i}", ()) for i in range(count)
        }
        return model.Fleet(workspaces=workspaces)

    def change_one(fleet: model.Fleet) -> int:
        workspaces = dict(fleet.workspaces)
        workspaces["w1"] = model.Workspace("w1", (), share=2.0)
        changed = attrs.evolve(fleet, workspaces=workspaces)
        return len(delta.pack(delta.diff(fleet, changed)))

    assert change_one(make(1000)) == change_one(make(10))


@pytest.mark.parametrize(
    "body",
    [b"", b"junk", zlib.compress(b"[]"), zlib.compress(b"[1, 2]")],
)
def test_unpack_refuses_malformed_bytes(body: bytes) -> None:
    with pytest.raises(ValueError, match="change"):
        delta.unpack(body)


def test_unpack_bounds_what_is_inflated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(delta, "MAX_UNPACKED_BYTES", 1000)
    body = delta.pack(delta.Delta({"fleet": b"x" * 2000}))
    with pytest.raises(ValueError, match="too much"):
        delta.unpack(body)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("workspace/a", b"[]"),
        ("workspace/a", b'{"name": 1}'),
        ("workspace/a", b'{"nme": "a"}'),
        ("target/a", b"{}"),
        ("wat/a", b"{}"),
    ],
)
def test_apply_refuses_malformed_entry(key: str, value: bytes) -> None:
    change = delta.Delta({key: value})
    with pytest.raises(ValueError):  # noqa: PT011
        delta.apply_delta(model.Fleet(), 0, change, 1)
