from __future__ import annotations

import pathlib

from tests.support import site_processes


def test_ports_of_a_site_are_all_different() -> None:
    site = site_processes.Site(pathlib.Path())
    drawn = [site.port(f"process-{number}") for number in range(1_000)]
    assert len(set(drawn)) == len(drawn)
    assert [site.port(f"process-{number}") for number in range(1_000)] == drawn
