from __future__ import annotations

import errno

import pytest

from cactusstile.console import application
from cactusstile.console import exceptions
from cactusstile.settings import ini


def test_run_without_command_prints_usage(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert application.run([]) is exceptions.ExitCode.OK
    assert "apply" in capsys.readouterr().out


def test_run_reports_unknown_command(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert application.run(["aply"]) is exceptions.ExitCode.USAGE
    assert "no command 'aply'" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("error", "code", "text"),
    [
        (
            exceptions.CommandError("lost", exceptions.ExitCode.REFUSED),
            exceptions.ExitCode.REFUSED,
            "lost",
        ),
        (
            ini.InvalidFileError([ini.Problem("f", "s", "o", "wrong")]),
            exceptions.ExitCode.INVALID_FILE,
            "f: [s] o: wrong",
        ),
        (
            OSError(errno.EADDRINUSE, "in use"),
            exceptions.ExitCode.ADDRESS_IN_USE,
            "choose another address",
        ),
    ],
)
def test_report_prints_user_error_inside_nested_groups(
    error: Exception,
    code: exceptions.ExitCode,
    text: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    group = ExceptionGroup("tasks", [ExceptionGroup("inner", [error])])
    assert application.report(group) is code
    assert text in capsys.readouterr().err


def test_report_raises_unexpected_error() -> None:
    with pytest.raises(ZeroDivisionError):
        application.report(ZeroDivisionError())
