"""Callers' keys: salted hashes and their verification.

A key reads "ck_ID_SECRET". The ID is no secret and finds the one hash that is
to be tried, so that a request costs no more with many workspaces.
"""

from __future__ import annotations

import base64
import collections
import hashlib
import hmac
import os
import secrets
import typing

if typing.TYPE_CHECKING:
    from cactusstile.state import model

PREFIX = "ck"
MAX_KEY_LENGTH = 256
VERIFIED_CACHE_SIZE = 4096
REJECTED_CACHE_SIZE = 4096
_ID_BYTES = 6
_SECRET_BYTES = 24
_SALT_BYTES = 16
_HASH_BYTES = 32
_COST = 1 << 12
_MAX_COST = 1 << 14
_BLOCK_SIZE = 8
_MEMORY_BYTES = 64 * 1024 * 1024
_KEY_PARTS = 3
_HASH_PARTS = 5


def new_key() -> str:
    """Returns a fresh random key for a caller."""
    return (
        f"{PREFIX}_{secrets.token_hex(_ID_BYTES)}_"
        f"{secrets.token_hex(_SECRET_BYTES)}"
    )


def hash_key(key: str) -> str:
    """Returns the salted hash of a key, as it stands in a fleet file.

    Raises:
      ValueError: If the text is no key.
    """
    identity = key_id(key)
    salt = os.urandom(_SALT_BYTES)
    hashed = _scrypt(key, salt, _COST)
    return f"scrypt${identity}${_COST}${_encode(salt)}${_encode(hashed)}"


def key_id(key: str) -> str:
    """Returns the public part of a key.

    Raises:
      ValueError: If the text is no key.

    >>> key_id("ck_a1_secret")
    'a1'
    """
    parts = key.split("_", _KEY_PARTS - 1)
    complete = len(parts) == _KEY_PARTS and parts[1].isalnum() and parts[2]
    if parts[0] != PREFIX or not complete or len(key) > MAX_KEY_LENGTH:
        raise ValueError("a key reads ck_ID_SECRET; make one with hash_key")
    return parts[1]


def check_hash(text: str) -> str:
    """Returns `text` if it is a salted hash of a key.

    Raises:
      ValueError: Saying what to write instead.
    """
    parts = text.split("$")
    if len(parts) == _HASH_PARTS and parts[0] == "scrypt" and parts[1]:
        try:
            cost = int(parts[2])
            sizes = [len(_decode(part)) for part in parts[3:]]
        except ValueError:
            cost, sizes = 0, []
        whole = sizes == [_SALT_BYTES, _HASH_BYTES]
        if whole and 1 < cost <= _MAX_COST and cost & (cost - 1) == 0:
            return text
    raise ValueError(
        "not a salted hash of a key; write what `cactusstile key` prints, "
        "like scrypt$ID$4096$SALT$HASH, never the key itself"
    )


def verify(key: str, hashed: str) -> bool:
    """Returns whether `hashed` is the hash of `key`, in constant time."""
    _, _, cost, salt, expected = check_hash(hashed).split("$")
    found = _scrypt(key, _decode(salt), int(cost))
    return hmac.compare_digest(found, _decode(expected))


class KeyRing:
    """Finds the workspace of a key, with a bounded cache of results.

    Attributes:
      computed: Count of scrypt computations.
    """

    def __init__(self) -> None:
        """Starts without workspaces; see `load`."""
        self.computed = 0
        self._by_id: dict[str, tuple[str, str]] = {}
        self._cache_salt = os.urandom(_SALT_BYTES)
        self._verified: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )
        self._rejected: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )

    def load(self, fleet: model.Fleet) -> None:
        """Takes over the keys of `fleet`; keys no longer in it are void."""
        by_id = {}
        for workspace in fleet.workspaces.values():
            for hashed in workspace.key_hashes:
                by_id[hashed.split("$", 2)[1]] = (workspace.name, hashed)
        self._by_id = by_id

    def find_workspace(self, key: str) -> str | None:
        """Returns the name of the workspace that `key` belongs to."""
        try:
            known = self._by_id.get(key_id(key))
        except ValueError:
            return None
        if known is None:
            return None
        workspace, hashed = known
        token = hashlib.blake2b(
            key.encode(), key=self._cache_salt, digest_size=32
        ).digest()
        if self._verified.get(token) == hashed:
            return workspace
        if self._rejected.get(token) == hashed:
            return None
        self.computed += 1
        if verify(key, hashed):
            _remember(self._verified, token, hashed, VERIFIED_CACHE_SIZE)
            return workspace
        _remember(self._rejected, token, hashed, REJECTED_CACHE_SIZE)
        return None


def _remember(
    cache: collections.OrderedDict[bytes, str],
    token: bytes,
    hashed: str,
    bound: int,
) -> None:
    cache[token] = hashed
    cache.move_to_end(token)
    while len(cache) > bound:
        cache.popitem(last=False)


def _scrypt(key: str, salt: bytes, cost: int) -> bytes:
    return hashlib.scrypt(
        key.encode(),
        salt=salt,
        n=cost,
        r=_BLOCK_SIZE,
        p=1,
        maxmem=_MEMORY_BYTES,
        dklen=_HASH_BYTES,
    )


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text, validate=True)
