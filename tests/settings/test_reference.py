from __future__ import annotations

import pathlib

from cactusstile.settings import reference

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs/CONFIGURATION.md"


def test_page_matches_declared_options() -> None:
    assert PAGE.read_text() == reference.render(), (
        "run: python -m cactusstile.settings.reference > docs/CONFIGURATION.md"
    )
