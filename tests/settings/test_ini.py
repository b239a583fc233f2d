from __future__ import annotations

import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile.settings import ini
from cactusstile.settings import process

VALID_SETTINGS = """
[process]
name = entry-1
data_centre = ikeja
listen = 127.0.0.1:7000
control = 127.0.0.1:7100, 127.0.0.1:7101
secret_file = {secret}

[entry]
http_listen = 127.0.0.1:8000
"""


def _write_settings(folder: pathlib.Path, text: str) -> pathlib.Path:
    secret = folder / "secret"
    secret.write_text("s" * process.MIN_SECRET_BYTES)
    path = folder / "entry.ini"
    path.write_text(text.format(secret=secret))
    return path


def test_load_returns_common_and_role_settings(tmp_path: pathlib.Path) -> None:
    option = ini.Option("http_listen", str, "address for callers")
    path = _write_settings(tmp_path, VALID_SETTINGS)
    settings, role = process.load(path, "entry", [option])
    assert settings.name == "entry-1"
    assert [replica.port for replica in settings.control] == [7100, 7101]
    assert role == {"http_listen": "127.0.0.1:8000"}
    assert "sss" not in repr(settings)


def test_load_reports_all_problems_at_once(tmp_path: pathlib.Path) -> None:
    text = VALID_SETTINGS.replace("127.0.0.1:7000", "here").replace(
        "ikeja", "a b"
    )
    path = _write_settings(tmp_path, text + "[extra]\n")
    with pytest.raises(ini.InvalidFileError) as caught:
        process.load(path, "entry", [])
    places = [
        (problem.section, problem.option) for problem in caught.value.problems
    ]
    assert places == [
        ("extra", ""),
        ("process", "data_centre"),
        ("process", "listen"),
        ("entry", "http_listen"),
    ]
    assert str(path) in str(caught.value)
    assert "10.0.0.1:7000" in str(caught.value)


def test_load_rejects_short_secret(tmp_path: pathlib.Path) -> None:
    path = _write_settings(tmp_path, VALID_SETTINGS)
    (tmp_path / "secret").write_text("short")
    with pytest.raises(ini.InvalidFileError, match="shorter than"):
        process.load(path, "entry", [])


def test_load_reports_missing_file(tmp_path: pathlib.Path) -> None:
    with pytest.raises(ini.InvalidFileError, match="cannot be read"):
        process.load(tmp_path / "absent.ini")


@hypothesis.given(strategies.text(max_size=200))
def test_parse_text_of_arbitrary_input_raises_only_invalid_file(
    text: str,
) -> None:
    try:
        ini.parse_text(text, "x.ini")
    except ini.InvalidFileError:
        return


@hypothesis.given(strategies.text(max_size=12))
def test_integer_accepts_only_integers_in_bounds(text: str) -> None:
    message = ""
    value = 0
    try:
        value = ini.integer(0, 99)(text)
    except ValueError as error:
        message = str(error)
    assert not message or "whole number from 0 to 99" in message
    assert 0 <= value <= 99


@pytest.mark.parametrize("text", ["--5", "-", "_", "5_", "٣", "", "1e1"])
def test_integer_rejects_malformed_text_with_expected_range(text: str) -> None:
    with pytest.raises(ValueError, match="whole number from 0 to 99"):
        ini.integer(0, 99)(text)
