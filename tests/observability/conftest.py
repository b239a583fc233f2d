from __future__ import annotations

from tests.entry import conftest as entry_conftest

site = entry_conftest.site
