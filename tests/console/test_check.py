from __future__ import annotations

import json
import pathlib

import pytest

from cactusstile.console import application
from cactusstile.console import exceptions

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"


@pytest.mark.parametrize(
    ("site", "engines"), [("ledgerfield", 9), ("teras", 5)]
)
def test_check_accepts_examples(
    site: str, engines: int, capsys: pytest.CaptureFixture[str]
) -> None:
    path = EXAMPLES / site / "fleet.ini"
    assert application.run(["check", str(path)]) is exceptions.ExitCode.OK
    assert "10 workspaces" in capsys.readouterr().out
    assert path.read_text().count("kind = engine") == engines


def test_check_lists_all_problems_as_json(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "fleet.ini"
    path.write_text("[fleet]\nname = a b\nrevision = x\n[target t]\n")
    code = application.run(["check", str(path), "--json"])
    assert code is exceptions.ExitCode.INVALID_FILE
    report = json.loads(capsys.readouterr().out)
    assert {problem["option"] for problem in report["problems"]} >= {
        "name",
        "revision",
        "kind",
    }


def test_check_accepts_path_that_looks_like_a_number(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    recwarn: pytest.WarningsRecorder,
) -> None:
    fleet = EXAMPLES / "ledgerfield" / "fleet.ini"
    monkeypatch.chdir(tmp_path)
    for name in ("1e3", "250/at-0a.ini"):
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(fleet.read_text())
        assert application.run(["check", name]) is exceptions.ExitCode.OK
    assert not recwarn.list
