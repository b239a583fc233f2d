"""Command `explain`: tells one request's story from the logs."""

from __future__ import annotations

import itertools
import pathlib

from cactusstile.console import exceptions
from cactusstile.observability import request_trace


def run(request: str, *files: str) -> None:
    """Prints what happened to a request, in order.

    Args:
      request: Identity that the caller gave the request.
      files: Log files of all processes.

    Raises:
      CommandError: No file was given or can be read, or none tells of it.
    """
    if not files:
        raise exceptions.CommandError(
            "name the log files: cactusstile explain ID FILE..."
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
            f"no line tells of request {request}; it may have ended before a"
            " gateway read it, or its line was left out (see `left_out`)"
        )
    print("\n".join(description))
