"""JSON logs on standard error."""

from __future__ import annotations

import logging
import sys

import pythonjsonlogger.json

LEVELS = ("debug", "info", "warning", "error")
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_NOISY_LOGGERS = ("uvicorn.error", "uvicorn.access", "asyncio")


def configure(role: str, name: str, level: str = "info") -> None:
    """Sends the process's log lines to standard error as JSON.

    Args:
      role: Role of the process.
      name: Name of the process.
      level: One of `LEVELS`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(build_formatter(role, name))
    install(handler, level)


def install(handler: logging.Handler, level: str = "info") -> None:
    """Makes `handler` the only log handler of the process."""
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in _NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def build_formatter(role: str, name: str) -> logging.Formatter:
    """Returns the JSON formatter of a process's log lines."""
    return pythonjsonlogger.json.JsonFormatter(
        _FIELDS,
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "name": "logger",
        },
        static_fields={"role": role, "process": name},
    )
