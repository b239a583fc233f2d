"""API keys of callers: salted hashes and their verification.

A key has the form "ck_ID_SECRET". The ID is public and selects the only hash to
verify, so that the cost of a request is independent of the number of
workspaces.
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
    """Returns a new random key for a caller."""
    return (
        f"{PREFIX}_{secrets.token_hex(_ID_BYTES)}_"
        f"{secrets.token_hex(_SECRET_BYTES)}"
    )


def hash_key(key: str) -> str:
    """Returns the salted hash of a key, in the format of a fleet file.

    Raises:
      ValueError: If the text is not a key.
    """
    identity = key_id(key)
    salt = os.urandom(_SALT_BYTES)
    hashed = _scrypt(key, salt, _COST)
    return f"scrypt${identity}${_COST}${_encode(salt)}${_encode(hashed)}"


def key_id(key: str) -> str:
    """Returns the public ID of a key.

    Raises:
      ValueError: If the text is not a key.

    >>> key_id("ck_a1_secret")
    'a1'
    """
    parts = key.split("_", _KEY_PARTS - 1)
    complete = len(parts) == _KEY_PARTS and parts[1].isalnum() and parts[2]
    if parts[0] != PREFIX or not complete or len(key) > MAX_KEY_LENGTH:
        raise ValueError(
            "key does not have the form ck_ID_SECRET; create one with "
            "`cactusstile key`"
        )
    return parts[1]


def check_hash(text: str) -> str:
    """Returns `text` if it is a salted hash of a key.

    Raises:
      ValueError: If the text is not such a hash; the message explains what to
        write instead.
    """
    parts = text.split("$")
    if len(parts) == _HASH_PARTS and parts[0] == "scrypt" and parts[1]:
        try:
            cost = int(parts[2])
            sizes = [len(_decode(part)) for part in parts[3:]]
        except ValueError:
            cost, sizes = 0, []
        has_valid_sizes = sizes == [_SALT_BYTES, _HASH_BYTES]
        if has_valid_sizes and 1 < cost <= _MAX_COST and cost & (cost - 1) == 0:
            return text
    raise ValueError(
        "not a salted hash of a key; use the output of `cactusstile key`, "
        "such as scrypt$ID$4096$SALT$HASH, never the key itself"
    )


def verify(key: str, hashed: str) -> bool:
    """Returns whether `hashed` is the hash of `key`, in constant time."""
    _, _, cost, salt, expected = check_hash(hashed).split("$")
    actual = _scrypt(key, _decode(salt), int(cost))
    return hmac.compare_digest(actual, _decode(expected))


class KeyRing:
    """Maps keys to workspaces, with a bounded cache of verified keys.

    Rejected keys are cached too, so that repeating one costs no scrypt
    computation.

    Attributes:
      computed: Number of scrypt computations so far.
    """

    def __init__(self) -> None:
        """Starts empty; `load` adds workspaces."""
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
        """Replaces all keys by those of `fleet`; other keys become invalid."""
        by_id = {}
        for workspace in fleet.workspaces.values():
            for hashed in workspace.key_hashes:
                by_id[hashed.split("$", 2)[1]] = (workspace.name, hashed)
        self._by_id = by_id

    def find_workspace(self, key: str) -> str | None:
        """Returns the name of the workspace of `key`; None if it is invalid."""
        try:
            registered = self._by_id.get(key_id(key))
        except ValueError:
            return None
        if registered is None:
            return None
        workspace, hashed = registered
        token = hashlib.blake2b(
            key.encode(), key=self._cache_salt, digest_size=32
        ).digest()
        if self._verified.get(token) == hashed:
            return workspace
        if self._rejected.get(token) == hashed:
            return None
        self.computed += 1
        if verify(key, hashed):
            _cache_result(self._verified, token, hashed, VERIFIED_CACHE_SIZE)
            return workspace
        _cache_result(self._rejected, token, hashed, REJECTED_CACHE_SIZE)
        return None


def _cache_result(
    cache: collections.OrderedDict[bytes, str],
    token: bytes,
    hashed: str,
    max_entries: int,
) -> None:
    cache[token] = hashed
    cache.move_to_end(token)
    while len(cache) > max_entries:
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
