from __future__ import annotations

import pathlib

import pytest
from tests.registry import sites


@pytest.fixture
def site(tmp_path: pathlib.Path) -> sites.Site:
    return sites.Site(tmp_path)
