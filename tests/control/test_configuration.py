from __future__ import annotations

import attrs
import pytest

from cactusstile.control import commands
from cactusstile.control import configuration
from cactusstile.control import exceptions
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model

OUTCOME = messages.ApplyOutcome


def _fleet(revision: int, share: float = 1.0) -> model.Fleet:
    workspace = model.Workspace("bank", (), share=share)
    return model.Fleet("lagos", revision, {"bank": workspace})


def _change(
    base: model.Fleet, fleet: model.Fleet, operator: str = "ada"
) -> messages.ApplyChange:
    return messages.ApplyChange(
        fleet.revision,
        base.revision,
        encoding.digest_bytes(encoding.content_digest(fleet)),
        delta.pack(delta.diff(base, fleet)),
        operator,
        1000,
    )


def _apply(
    machine: configuration.Configuration, message: object
) -> messages.ApplyReply:
    result = commands.unpack_result(machine.apply(1, commands.pack(message)))
    assert isinstance(result, messages.ApplyReply)
    return result


def _apply_many(machine: configuration.Configuration, count: int) -> None:
    for _ in range(count):
        base = machine.fleet
        fleet = _fleet(base.revision + 1, 1.0 + base.revision)
        assert _apply(machine, _change(base, fleet)).outcome == "accepted"


def _restore_copy(
    machine: configuration.Configuration,
) -> configuration.Configuration:
    restored = configuration.Configuration()
    restored.restore(machine.snapshot())
    return restored


def test_resend_gets_first_answer_after_many_changes_and_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late resend must not be applied twice after its record was dropped."""
    monkeypatch.setattr(configuration, "MAX_RECORDS", 16)
    machine = configuration.Configuration()
    change = _change(model.Fleet(), _fleet(1))
    first = _apply(machine, change)
    _apply_many(machine, 500)
    machine = _restore_copy(machine)
    assert _apply(machine, change) == first
    assert machine.fleet.revision == 501
    assert len(machine.records) == 16


def test_second_change_with_a_used_revision_is_refused() -> None:
    """Two operators who use one revision must not overwrite each other."""
    machine = configuration.Configuration()
    _apply(machine, _change(model.Fleet(), _fleet(5), "ada"))
    other = _change(model.Fleet(), _fleet(5, 2.0), "bisi")
    for _ in range(2):
        reply = _apply(machine, other)
        assert (reply.outcome, reply.operator) == (OUTCOME.TAKEN.value, "ada")
        machine = _restore_copy(machine)
    assert machine.fleet == _fleet(5)


def test_change_with_lower_revision_or_moved_base_is_refused() -> None:
    """A change computed against another revision must not be applied."""
    machine = configuration.Configuration()
    _apply(machine, _change(model.Fleet(), _fleet(5)))
    lower = _apply(machine, _change(_fleet(5), _fleet(4, 2.0)))
    assert (lower.outcome, lower.revision) == (OUTCOME.LOWER.value, 5)
    moved = _apply(machine, _change(model.Fleet(), _fleet(6, 2.0)))
    assert (moved.outcome, moved.revision) == (OUTCOME.MOVED.value, 5)
    assert machine.fleet == _fleet(5)


def test_change_that_does_not_match_its_digest_is_refused() -> None:
    """A damaged change must not alter the fleet."""
    machine = configuration.Configuration()
    change = _change(model.Fleet(), _fleet(1))
    forged = attrs.evolve(change, digest=bytes(encoding.DIGEST_BYTES))
    for broken in (forged, attrs.evolve(change, body=b"junk")):
        result = commands.unpack(machine.apply(1, commands.pack(broken)))
        assert getattr(result, "code", "") == "bad_request"
    assert machine.fleet == model.Fleet()


def test_fencing_numbers_grow_once_for_each_call_over_snapshots() -> None:
    """A resend must not raise the number; a restore must not lower it."""
    machine = configuration.Configuration()
    for take_id, expected in ((b"a", 1), (b"b", 2), (b"b", 2), (b"c", 3)):
        take = messages.TakeFence("ikeja-1", take_id)
        result = commands.unpack_result(machine.apply(1, commands.pack(take)))
        assert result == messages.FenceNumber(expected)
        machine = _restore_copy(machine)


def test_restore_refuses_damaged_snapshot() -> None:
    """A damaged snapshot must not be restored as another state."""
    machine = configuration.Configuration()
    _apply_many(machine, 3)
    data = machine.snapshot()
    for damaged in (data[:-8], b"junk", data[:1]):
        with pytest.raises(exceptions.SnapshotError):
            configuration.Configuration().restore(damaged)


def test_revision_with_discarded_digest_is_not_applied_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A very late resend must not be applied after its digest was discarded."""
    machine = configuration.Configuration()
    monkeypatch.setattr(machine._revisions, "max_revisions", 8)
    _apply_many(machine, 20)
    reply = _apply(machine, _change(model.Fleet(), _fleet(1)))
    assert reply.outcome == OUTCOME.FORGOTTEN.value
