from __future__ import annotations

import socket
import typing

from cactusstile.console import application
from cactusstile.console import exceptions

if typing.TYPE_CHECKING:
    import pytest


def test_dump_of_unreachable_address_reports_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    code = application.run(["dump", f"127.0.0.1:{port}"])
    assert code is exceptions.ExitCode.UNREACHABLE
    assert "does not answer" in capsys.readouterr().err


def test_dump_of_malformed_address_is_usage_error(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert application.run(["dump", "here"]) is exceptions.ExitCode.USAGE
    assert "10.0.0.1:7000" in capsys.readouterr().err
