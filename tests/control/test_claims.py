from __future__ import annotations

import attrs
import pytest

from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import commands
from cactusstile.control import exceptions
from cactusstile.transport import exceptions as transport_exceptions

STATE = claim_messages.ClaimState
ONE = bytes(15) + b"1"
TWO = bytes(15) + b"2"


def _apply(
    machine: claims.Claims, message: object
) -> claim_messages.ClaimReply:
    result = commands.unpack_result(machine.apply(1, commands.pack(message)))
    assert isinstance(result, claim_messages.ClaimReply)
    return result


def _claim(
    claim_id: bytes = ONE, key: str = "k", digest: bytes = b"d"
) -> claim_messages.Claim:
    return claim_messages.Claim("bank", key, digest, 7, claim_id)


def _finish(
    claim_id: bytes, answer: bytes = b"a", key: str = "k"
) -> claim_messages.FinishClaim:
    return claim_messages.FinishClaim("bank", key, claim_id, "ok", answer)


def _tick(machine: claims.Claims, elapsed_ms: int) -> None:
    tick = claim_messages.ClaimTick(elapsed_ms)
    machine.apply(1, commands.pack(tick))


def _restart(machine: claims.Claims) -> claims.Claims:
    restored = claims.Claims(machine.max_claims, machine.max_workspace_claims)
    restored.restore(machine.snapshot())
    return restored


def test_claim_is_granted_once_over_resends_and_snapshots() -> None:
    machine = claims.Claims()
    assert _apply(machine, _claim(ONE)).granted
    machine = _restart(machine)
    assert _apply(machine, _claim(ONE)).granted, "resend of the same claim"
    second = _apply(machine, _claim(TWO))
    assert (second.granted, second.state) == (False, STATE.RUNNING.value)
    assert not _apply(machine, _finish(TWO)).answer_kept
    assert _apply(machine, _finish(ONE, b"first")).answer == b"first"
    assert _apply(machine, _finish(ONE, b"later")).answer == b"first"
    machine = _restart(machine)
    for claim_id in (ONE, TWO):
        late = _apply(machine, _claim(claim_id))
        assert (late.granted, late.answer) == (False, b"first")


def test_other_content_under_a_key_learns_nothing_of_it() -> None:
    machine = claims.Claims()
    _apply(machine, _claim(ONE))
    _apply(machine, _finish(ONE))
    reply = _apply(machine, _claim(TWO, digest=b"other"))
    expected = claim_messages.ClaimReply(False, STATE.MISMATCH.value)
    assert reply == expected


def test_keys_of_two_workspaces_do_not_meet() -> None:
    machine = claims.Claims()
    first = claim_messages.Claim("a", "bc", b"d", 1, ONE)
    second = claim_messages.Claim("ab", "c", b"d", 1, TWO)
    assert _apply(machine, first).granted
    assert _apply(machine, second).granted


def test_closed_key_is_never_granted() -> None:
    machine = claims.Claims()
    close = claim_messages.CloseClaim("bank", "k", b"d")
    assert _apply(machine, close).state == STATE.CLOSED.value
    machine = _restart(machine)
    reply = _apply(machine, _claim())
    assert (reply.granted, reply.state) == (False, STATE.CLOSED.value)


def test_key_is_closed_to_epochs_until_the_last_closing() -> None:
    machine = claims.Claims()
    for epoch in (5, 9, 7):
        _apply(
            machine, claim_messages.CloseClaim("bank", "k", b"", epoch=epoch)
        )
    machine = _restart(machine)
    for epoch, granted in ((8, False), (9, False), (10, True)):
        claim = attrs.evolve(_claim(), epoch=epoch)
        assert _apply(machine, claim).granted == granted
    _apply(machine, _finish(ONE))
    late = attrs.evolve(_claim(TWO), epoch=11)
    assert _apply(machine, late).state == STATE.FINISHED.value


def test_close_after_claim_reports_the_run() -> None:
    machine = claims.Claims()
    _apply(machine, _claim())
    close = claim_messages.CloseClaim("bank", "k", b"d")
    assert _apply(machine, close).state == STATE.RUNNING.value


def test_released_claim_may_be_claimed_anew_by_owner_only() -> None:
    machine = claims.Claims()
    _apply(machine, _claim(ONE))
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", TWO))
    assert not _apply(machine, _claim(TWO)).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", ONE))
    assert _apply(machine, _claim(TWO)).granted


@pytest.mark.parametrize("first", ["claim", "release"])
def test_late_copy_of_a_claim_that_was_given_back_claims_nothing(
    first: str,
) -> None:
    machine = claims.Claims()
    if first == "claim":
        assert _apply(machine, _claim(ONE)).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k", ONE))
    machine = _restart(machine)
    late = _apply(machine, _claim(ONE))
    assert (late.granted, late.state) == (False, STATE.ABSENT.value)
    assert _apply(machine, _claim(TWO)).granted


def test_full_group_refuses_and_forgets_only_after_retention() -> None:
    machine = claims.Claims(max_claims=2)
    _apply(machine, _claim(key="k1"))
    _tick(machine, 1000)
    _apply(machine, _claim(key="k2"))
    with pytest.raises(transport_exceptions.RemoteError) as caught:
        _apply(machine, _claim(key="k3"))
    wait_s = float(caught.value.detail)
    assert wait_s == (claims.RETENTION_MS - 1000) / 1000
    _tick(machine, claims.RETENTION_MS - 1001)
    assert len(machine) == 2
    _tick(machine, 1)
    assert _apply(machine, _claim(key="k3")).granted
    assert not _apply(machine, _claim(TWO, key="k2")).granted


def test_answers_are_bounded_but_outcomes_stay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_ANSWERS_BYTES", 100)
    monkeypatch.setattr(claims, "MAX_ANSWER_BYTES", 60)
    machine = claims.Claims()
    for key, size in (("k1", 60), ("k2", 60), ("k3", 61)):
        _apply(machine, _claim(key=key))
        _apply(machine, _finish(ONE, bytes(size), key))
    machine = _restart(machine)
    kept = {}
    for key in ("k1", "k2", "k3"):
        reply = machine.read(claim_messages.ReadClaim("bank", key, b"d"))
        assert reply.outcome == "ok"
        kept[key] = reply.answer_kept
    assert kept == {"k1": False, "k2": True, "k3": False}


@pytest.mark.parametrize(
    "message",
    [
        _claim(b"short"),
        _claim(key=""),
        _claim(key="k" * 513),
        claim_messages.FinishClaim("bank", "k", ONE, "o" * 65, b""),
    ],
)
def test_out_of_bounds_commands_are_refused(message: object) -> None:
    with pytest.raises(transport_exceptions.RemoteError, match="bad_request"):
        _apply(claims.Claims(), message)


def test_restore_refuses_damaged_snapshot() -> None:
    machine = claims.Claims()
    _apply(machine, _claim())
    data = machine.snapshot()
    for damaged in (data[:-1], data + b"x"):
        with pytest.raises(exceptions.SnapshotError):
            claims.Claims().restore(damaged)


def test_workspace_that_fills_its_bound_leaves_room_for_others() -> None:
    machine = claims.Claims(max_claims=4, max_workspace_claims=2)
    for number in range(2):
        assert _apply(machine, _claim(key=f"k{number}")).granted
    machine = _restart(machine)
    other = claim_messages.Claim("clinic", "k1", b"d", 7, TWO)
    with pytest.raises(transport_exceptions.RemoteError) as caught:
        _apply(machine, _claim(key="k2"))
    assert caught.value.code == "overloaded"
    assert float(caught.value.detail) > 0
    with pytest.raises(transport_exceptions.RemoteError):
        _apply(machine, claim_messages.CloseClaim("bank", "k2", b"d"))
    assert _apply(machine, other).granted
    assert not _apply(machine, _claim(TWO, key="k1")).granted
    _apply(machine, claim_messages.ReleaseClaim("bank", "k1", ONE))
    assert _apply(machine, _claim(key="k2")).granted
    _tick(machine, claims.RETENTION_MS)
    assert _apply(machine, _claim(key="k3")).granted
