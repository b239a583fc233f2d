"""Command `explain`: shows from the logs what happened to a request."""

from __future__ import annotations

import itertools
import pathlib

from cactusstile.console import exceptions
from cactusstile.observability import request_trace


def run(request: str, *files: str) -> None:
    """Prints what happened to a request, in order.

    Args:
      request: Id that the caller gave the request.
      files: Log files of all processes.

    Raises:
      CommandError: If no file is given, a file cannot be read, or no line
        mentions the request.
    """
    if not files:
        raise exceptions.CommandError(
            "no log files given; usage: cactusstile explain ID FILE..."
        )
    try:
        texts = [
            pathlib.Path(file).read_text(errors="replace").splitlines()
            for file in files
        ]
    except OSError as error:
        raise exceptions.CommandError(
            f"cannot read {error.filename}: {error.strerror}"
        ) from error
    description = request_trace.describe(
        str(request), itertools.chain.from_iterable(texts)
    )
    if not description:
        raise exceptions.CommandError(
            f"no line mentions request {request}; it may have ended before a"
            " gateway read it, or its line was dropped (see `left_out`)"
        )
    print("\n".join(description))
