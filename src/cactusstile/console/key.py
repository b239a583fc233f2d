"""Command `key`: generates a caller's key and its salted hash."""

from __future__ import annotations

from cactusstile.state import keys


def run() -> None:
    """Prints a new key for the caller and its hash for the fleet file."""
    key = keys.new_key()
    print(f"key for the caller (shown once): {key}")
    print(f"key_hashes = {keys.hash_key(key)}")
