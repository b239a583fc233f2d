"""Salts, which separate KV cache by cache scope and by weights."""

from __future__ import annotations

from cactusstile.sites import model

# Digits of the greatest version.
_MAX_DIGITS = 19


def make(cache_scope: str, name: str, version: int) -> str:
    """Returns the salt of KV cache that is computed with a model's weights.

    Args:
      cache_scope: Name of the cache scope, whose callers share the cache.
      name: Name of the model.
      version: Version of the weights.
    """
    return f"{cache_scope}/{name}/{version}"


def weights_of(salt: str) -> model.Weights | None:
    """Returns the weights in a salt; None if `make` did not create the salt.

    >>> weights_of(make("shared", "m", 3))
    Weights(model='m', version=3)
    >>> weights_of("other") is None
    True
    """
    rest, _, version = salt.rpartition("/")
    _, separator, name = rest.rpartition("/")
    if not separator or not version.isdecimal() or len(version) > _MAX_DIGITS:
        return None
    return model.Weights(name, int(version))
