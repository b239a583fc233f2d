"""Command `dump`: prints the state of one process."""

from __future__ import annotations

from cactusstile.console import exceptions
from cactusstile.console import http_calls
from cactusstile.transport import address

TIMEOUT_S = 5.0
HTTP_OK = 200


def run(admin: str) -> None:
    """Prints the state of the process whose admin address is ADMIN.

    Args:
      admin: Value of `admin_listen` in the process's settings.
    """
    try:
        target = address.parse(str(admin))
    except ValueError as error:
        raise exceptions.CommandError(
            str(error), exceptions.ExitCode.USAGE
        ) from error
    try:
        answer = http_calls.request(
            "GET", f"http://{target}/dump", timeout_s=TIMEOUT_S
        )
    except exceptions.NoAnswerError as error:
        raise exceptions.CommandError(
            f"{target} does not answer: {error}; check that the process runs "
            "and that this is its admin address",
            exceptions.ExitCode.UNREACHABLE,
        ) from error
    if answer.status != HTTP_OK:
        raise exceptions.CommandError(
            f"{target} answered with status {answer.status}"
        )
    print(answer.content.decode(errors="replace"), end="")
