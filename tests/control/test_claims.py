from __future__ import annotations

import attrs
import pytest

from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import commands
from cactusstile.control import exceptions
from cactusstile.transport import exceptions as transport_exceptions

STATE = claim_messages.ClaimState
FIRST_ID = bytes(15) + b"1"
SECOND_ID = bytes(15) + b"2"


def _apply(
    machine: claims.Claims, message: object
) -> claim_messages.ClaimReply:
    result = commands.unpack_result(machine.apply(1, commands.pack(message)))
    assert isinstance(result, claim_messages.ClaimReply)
    return result


def _build_claim(
    claim_id: bytes = FIRST_ID, key: str = "k", digest: bytes = b"d"
) -> claim_messages.Claim:
    return claim_messages.Claim("bank", key, digest, 7, claim_id)


def _build_finish(
    claim_id: bytes, answer: bytes = b"a", key: str = "k"
) -> claim_messages.FinishClaim:
    return claim_messages.FinishClaim("bank", key, claim_id, "ok", answer)


def _advance_time(machine: claims.Claims, elapsed_ms: int) -> None:
    tick = claim_messages.ClaimTick(elapsed_ms)
    machine.apply(1, commands.pack(tick))


def _restore_copy(machine: claims.Claims) -> claims.Claims:
    restored = claims.Claims(machine.max_claims, machine.max_workspace_claims)
    restored.restore(machine.snapshot())
    return restored


def test_claim_is_granted_once_over_resends_and_snapshots() -> None:
    """A request must not run twice after a resend, restore or late finish."""
    machine = claims.Claims()
    assert _apply(machine, _build_claim(FIRST_ID)).granted
    machine = _restore_copy(machine)
    assert _apply(machine, _build_claim(FIRST_ID)).granted, (
        "resend of the same claim"
    )
    second = _apply(machine, _build_claim(SECOND_ID))
    assert (second.granted, second.state) == (False, STATE.RUNNING.value)
    assert not _apply(machine, _build_finish(SECOND_ID)).answer_kept
    assert _apply(machine, _build_finish(FIRST_ID, b"first")).answer == b"first"
    assert _apply(machine, _build_finish(FIRST_ID, b"later")).answer == b"first"
    machine = _restore_copy(machine)
    for claim_id in (FIRST_ID, SECOND_ID):
        late = _apply(machine, _build_claim(claim_id))
        assert (late.granted, late.answer) == (False, b"first")


def test_claim_with_other_content_returns_mismatch_without_details() -> None:
    """A reused key must not reveal the outcome of another request."""
    machine = claims.Claims()
    _apply(machine, _build_claim(FIRST_ID))
    _apply(machine, _build_finish(FIRST_ID))
    reply = _apply(machine, _build_claim(SECOND_ID, digest=b"other"))
    expected = claim_messages.ClaimReply(False, STATE.MISMATCH.value)
    assert reply == expected


def test_keys_of_two_workspaces_do_not_meet() -> None:
    """Keys must not collide if workspace and key concatenate to one text."""
    machine = claims.Claims()
    first = claim_messages.Claim("a", "bc", b"d", 1, FIRST_ID)
    second = claim_messages.Claim("ab", "c", b"d", 1, SECOND_ID)
    assert _apply(machine, first).granted
    assert _apply(machine, second).granted


def test_closed_key_is_never_granted() -> None:
    """A request must not run after control has reported that it did not."""
    machine = claims.Claims()
    close = claim_messages.CloseClaim("bank", "k", b"d")
    assert _apply(machine, close).state == STATE.CLOSED.value
    machine = _restore_copy(machine)
    reply = _apply(machine, _build_claim())
    assert (reply.granted, reply.state) == (False, STATE.CLOSED.value)


def test_closed_key_refuses_epochs_up_to_the_latest_closing() -> None:
    """A closing with an earlier epoch must not reopen the key."""
    machine = claims.Claims()
    for epoch in (5, 9, 7):
        _apply(
            machine, claim_messages.CloseClaim("bank", "k", b"", epoch=epoch)
        )
    machine = _restore_copy(machine)
    for epoch, granted in ((8, False), (9, False), (10, True)):
        claim = attrs.evolve(_build_claim(), epoch=epoch)
        assert _apply(machine, claim).granted == granted
    _apply(machine, _build_finish(FIRST_ID))
    late = attrs.evolve(_build_claim(SECOND_ID), epoch=11)
    assert _apply(machine, late).state == STATE.FINISHED.value


def test_closing_a_claimed_key_returns_running() -> None:
    """A running request must not be reported as closed."""
    machine = claims.Claims()
    _apply(machine, _build_claim())
    close = claim_messages.CloseClaim("bank", "k", b"d")
    assert _apply(machine, close).state == STATE.RUNNING.value


def test_claim_is_released_by_its_own_id_only() -> None:
    """A release with another claim's identity must not free the key."""
    machine = claims.Claims()
    _apply(machine, _build_claim(FIRST_ID))
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", SECOND_ID))
    assert not _apply(machine, _build_claim(SECOND_ID)).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", FIRST_ID))
    assert _apply(machine, _build_claim(SECOND_ID)).granted


@pytest.mark.parametrize("first", ["claim", "release"])
def test_late_copy_of_a_claim_that_was_given_back_claims_nothing(
    first: str,
) -> None:
    """A delayed resend must not run a request that its caller abandoned."""
    machine = claims.Claims()
    if first == "claim":
        assert _apply(machine, _build_claim(FIRST_ID)).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", FIRST_ID))
    machine = _restore_copy(machine)
    late = _apply(machine, _build_claim(FIRST_ID))
    assert (late.granted, late.state) == (False, STATE.ABSENT.value)
    assert _apply(machine, _build_claim(SECOND_ID)).granted


def test_full_group_refuses_claims_until_retention_expires() -> None:
    """A full group must not evict claims before the retention time."""
    machine = claims.Claims(max_claims=2)
    _apply(machine, _build_claim(key="k1"))
    _advance_time(machine, 1000)
    _apply(machine, _build_claim(key="k2"))
    with pytest.raises(transport_exceptions.RemoteError) as caught:
        _apply(machine, _build_claim(key="k3"))
    wait_s = float(caught.value.detail)
    assert wait_s == (claims.RETENTION_MS - 1000) / 1000
    _advance_time(machine, claims.RETENTION_MS - 1001)
    assert len(machine) == 2
    _advance_time(machine, 1)
    assert _apply(machine, _build_claim(key="k3")).granted
    assert not _apply(machine, _build_claim(SECOND_ID, key="k2")).granted


def test_outcome_stays_when_its_answer_is_dropped_over_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Dropping a stored answer must not drop the outcome of the run."""
    monkeypatch.setattr(claims, "MAX_TOTAL_ANSWER_BYTES", 100)
    monkeypatch.setattr(claims, "MAX_ANSWER_BYTES", 60)
    machine = claims.Claims()
    for key, size in (("k1", 60), ("k2", 60), ("k3", 61)):
        _apply(machine, _build_claim(key=key))
        _apply(machine, _build_finish(FIRST_ID, bytes(size), key))
    machine = _restore_copy(machine)
    kept = {}
    for key in ("k1", "k2", "k3"):
        reply = machine.read(claim_messages.ReadClaim("bank", key, b"d"))
        assert reply.outcome == "ok"
        kept[key] = reply.answer_kept
    assert kept == {"k1": False, "k2": True, "k3": False}


@pytest.mark.parametrize(
    "message",
    [
        _build_claim(b"short"),
        _build_claim(key=""),
        _build_claim(key="k" * 513),
        claim_messages.FinishClaim("bank", "k", FIRST_ID, "o" * 65, b""),
    ],
)
def test_command_with_field_out_of_bounds_is_refused(message: object) -> None:
    """Fields of arbitrary size would exceed the memory limits."""
    with pytest.raises(transport_exceptions.RemoteError, match="bad_request"):
        _apply(claims.Claims(), message)


def test_restore_refuses_truncated_or_extended_snapshot() -> None:
    """A damaged snapshot must not be restored as a smaller state."""
    machine = claims.Claims()
    _apply(machine, _build_claim())
    data = machine.snapshot()
    for damaged in (data[:-1], data + b"x"):
        with pytest.raises(exceptions.SnapshotError):
            claims.Claims().restore(damaged)


def test_workspace_at_its_claim_limit_does_not_block_others() -> None:
    """One workspace must not use up the capacity of all others."""
    machine = claims.Claims(max_claims=4, max_workspace_claims=2)
    for number in range(2):
        assert _apply(machine, _build_claim(key=f"k{number}")).granted
    machine = _restore_copy(machine)
    other = claim_messages.Claim("clinic", "k1", b"d", 7, SECOND_ID)
    with pytest.raises(transport_exceptions.RemoteError) as caught:
        _apply(machine, _build_claim(key="k2"))
    assert caught.value.code == "overloaded"
    assert float(caught.value.detail) > 0
    with pytest.raises(transport_exceptions.RemoteError):
        _apply(machine, claim_messages.CloseClaim("bank", "k2", b"d"))
    assert _apply(machine, other).granted
    assert not _apply(machine, _build_claim(SECOND_ID, key="k1")).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k1", FIRST_ID))
    assert _apply(machine, _build_claim(key="k2")).granted
    _advance_time(machine, claims.RETENTION_MS)
    assert _apply(machine, _build_claim(key="k3")).granted
