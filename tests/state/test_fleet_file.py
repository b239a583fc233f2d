from __future__ import annotations

import pytest

from cactusstile.settings import ini
from cactusstile.state import fleet_file
from cactusstile.state import keys
from cactusstile.state import model

HASH = keys.hash_key("ck_a1_secret")
VALID_FILE = f"""
[fleet]
name = lagos
revision = 7

[workspace bank]
key_hashes = {HASH}

[deployment chat]
model = m1
version = v1
adapters = tone@2
workspaces = bank

[service inventory]
timeout_s = 5

[target ikeja-1]
kind = engine
agent = 127.0.0.1:7100
data_centre = ikeja
serves = chat
checks_fence = yes
role = decode

[target store-1]
kind = store
agent = 127.0.0.1:7101
data_centre = lekki

[link lekki ikeja]
bytes_per_s = 1e6
"""


def test_parse_reads_all_sections() -> None:
    fleet = fleet_file.parse(VALID_FILE, "fleet.ini")
    assert (fleet.name, fleet.revision) == ("lagos", 7)
    assert fleet.deployments["chat"].adapters == ("tone@2",)
    assert fleet.targets["ikeja-1"].checks_fence
    assert fleet.targets["ikeja-1"].role == "decode"
    assert fleet.targets["store-1"].kind is model.TargetKind.STORE
    assert fleet.link("ikeja", "lekki") is not None


def test_parse_of_rendered_fleet_returns_the_same_fleet() -> None:
    fleet = fleet_file.parse(VALID_FILE, "fleet.ini")
    assert fleet_file.parse(fleet_file.render(fleet), "again") == fleet


def test_parse_reports_all_problems_at_once() -> None:
    text = VALID_FILE.replace("revision = 7", "revision = x")
    text = text.replace("workspaces = bank", "workspaces = bnk")
    text = text.replace("serves = chat", "serves = chta")
    text = text.replace("7101", "7100").replace("share", "shre")
    text = text.replace("timeout_s = 5", "timeout = 5")
    text = text.replace("lekki\n\n[link", "lekki\nrole = decode\n\n[link")
    text += f"[workspace other]\nkey_hashes = {HASH}\n[wat x]\n"
    with pytest.raises(ini.InvalidFileError) as caught:
        fleet_file.parse(text, "fleet.ini")
    reported = {
        (problem.section, problem.option) for problem in caught.value.problems
    }
    assert reported == {
        ("fleet", "revision"),
        ("deployment chat", "workspaces"),
        ("target ikeja-1", "serves"),
        ("target store-1", "agent"),
        ("target store-1", "role"),
        ("service inventory", "timeout"),
        ("workspace other", "key_hashes"),
        ("wat x", ""),
    }
    assert "write one of: chat" in str(caught.value)


def test_parse_rejects_plain_key_without_printing_it() -> None:
    text = VALID_FILE.replace(HASH, "ck_a1_secret")
    with pytest.raises(ini.InvalidFileError) as caught:
        fleet_file.parse(text, "fleet.ini")
    assert "ck_a1_secret" not in str(caught.value)
