from __future__ import annotations

import pytest

from cactusstile.state import keys
from cactusstile.state import model


def _ring(**hashes: str) -> keys.KeyRing:
    ring = keys.KeyRing()
    ring.load(_fleet(**hashes))
    return ring


def _fleet(**hashes: str) -> model.Fleet:
    workspaces = {
        name: model.Workspace(name, (hashed,))
        for name, hashed in hashes.items()
    }
    return model.Fleet(workspaces=workspaces)


def test_find_workspace_computes_once_for_each_key() -> None:
    keys_by_name = {f"w{number}": keys.new_key() for number in range(20)}
    ring = _ring(
        **{name: keys.hash_key(key) for name, key in keys_by_name.items()}
    )
    for _ in range(3):
        for name, key in keys_by_name.items():
            assert ring.find_workspace(key) == name
    assert ring.computed == len(keys_by_name)


def test_find_workspace_caches_rejection_of_wrong_secret() -> None:
    key = keys.new_key()
    ring = _ring(bank=keys.hash_key(key))
    for _ in range(3):
        assert ring.find_workspace(key + "0") is None
    assert ring.computed == 1
    assert ring.find_workspace("junk") is None
    assert ring.find_workspace(keys.new_key()) is None
    assert ring.computed == 1


def test_removed_key_is_invalid_despite_the_cache() -> None:
    key = keys.new_key()
    ring = _ring(bank=keys.hash_key(key))
    assert ring.find_workspace(key) == "bank"
    ring.load(_fleet(bank=keys.hash_key(keys.new_key())))
    assert ring.find_workspace(key) is None


@pytest.mark.parametrize(
    "text", ["", "ck_a_b", "scrypt$a$4096$AA==$AA==", "scrypt$a$x$y$z"]
)
def test_check_hash_rejects_other_text(text: str) -> None:
    with pytest.raises(ValueError, match="not a salted hash"):
        keys.check_hash(text)
