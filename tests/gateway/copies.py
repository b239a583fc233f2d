"""Set-up of the tests of prompts whose runs are copied to another engine."""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import liveness
from cactusstile.gateway import target_view
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import pytest

WEIGHTS = (model.Weights("m", 3),)
FIELDS = (
    b"X-Cactusstile-Model: m\r\nX-Cactusstile-Token-Usage: 800,796\r\n"
    b"X-Cactusstile-Prompt-Prefix: x:500,y:300\r\n"
    b"X-Cactusstile-Length-Hint: 250\r\n"
)


def back_up(config: model.SiteConfiguration) -> model.SiteConfiguration:
    """Returns `config` with engines that copy their runs."""
    engine = model.Engine(8, 50_000, backs_up=True)
    services = {"plain": model.Service("plain", 0, engine)}
    return attrs.evolve(config, services=services)


def end_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the engine "a" count as ended, although its fake still listens."""

    async def has_ended(view: target_view.TargetView) -> bool:
        return view.target.id == "a"

    monkeypatch.setattr(liveness, "has_ended", has_ended)
