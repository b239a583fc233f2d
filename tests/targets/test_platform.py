"""The platform's list of VMs, as agents read it."""

from __future__ import annotations

import json

import pytest

from cactusstile.targets import platform

LEAVING = {"name": "vm1", "state": "leaving"}


# Guards against a VM that leaves unnoticed, as one entry of another writer
# makes the list unreadable for agents, though not for gateways.
@pytest.mark.parametrize(
    "entry",
    [None, [], "vm2", {}, {"name": "vm2"}, {"state": "live"}, {"name": 3}],
)
def test_strange_entry_makes_the_list_of_vms_unreadable(entry: object) -> None:
    page = json.dumps({"vms": [entry, LEAVING]}).encode()
    assert platform.parse_vms(page)["vm1"] is platform.VmState.LEAVING


def test_unreadable_name_makes_the_list_of_vms_unreadable() -> None:
    page = b'{"vms": [{"name": "\xff", "state": "live"}, %b]}'
    listed = platform.parse_vms(page % json.dumps(LEAVING).encode())
    assert listed["vm1"] is platform.VmState.LEAVING
