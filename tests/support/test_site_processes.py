from __future__ import annotations

import pathlib

from tests.support import site_processes


def test_ports_of_a_site_are_distinct_and_stable() -> None:
    site = site_processes.Site(pathlib.Path())
    ports = [site.port(f"process-{number}") for number in range(1_000)]
    assert len(set(ports)) == len(ports)
    assert [site.port(f"process-{number}") for number in range(1_000)] == ports
