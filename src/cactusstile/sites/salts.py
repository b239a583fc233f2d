"""Salts of KV cache: who shares it, and which weights made it."""

from __future__ import annotations

from cactusstile.sites import model


def make(wall: str, name: str, version: int) -> str:
    """Returns the salt of the KV cache that one version of a model makes.

    Args:
      wall: Those with whom it is shared.
      name: Name of the model.
      version: Version of the weights.
    """
    return f"{wall}/{name}/{version}"


def weights_of(salt: str) -> model.Weights | None:
    """Returns the weights that a salt names; None if it is not one of ours.

    >>> weights_of(make("shared", "m", 3))
    Weights(model='m', version=3)
    >>> weights_of("other") is None
    True
    """
    rest, _, version = salt.rpartition("/")
    _, mark, name = rest.rpartition("/")
    if not mark or not version.isdecimal():
        return None
    return model.Weights(name, int(version))
