"""Settings of an entry process."""

from __future__ import annotations

import pathlib

import attrs

from cactusstile.limits import recent_use
from cactusstile.observability import logs
from cactusstile.settings import ini
from cactusstile.settings import process
from cactusstile.transport import address


@attrs.frozen
class EntrySettings:
    """Settings of an entry.

    Attributes:
      process: Settings common to all roles.
      callers_listen: Address for callers.
      max_body_bytes: Bound on one request body.
      max_buffered_bytes: Bound on all request bodies held at once.
      max_in_flight: Bound on requests in flight.
      retry_share: Retries allowed per request in the long run.
      drain_delay_s: Time between the end of readiness and the end of
        accepting, for the balancer to notice.
      log_level: Least level of log lines.
      storm_factor: Multiple of the others' mean use, by share, at which a
        workspace storms; 0 for never.
    """

    process: process.ProcessSettings
    callers_listen: address.Address
    max_body_bytes: int
    max_buffered_bytes: int
    max_in_flight: int
    retry_share: float
    drain_delay_s: float
    log_level: str
    storm_factor: float = recent_use.STORM_FACTOR


OPTIONS = (
    ini.Option("callers_listen", address.parse, "address for callers"),
    ini.Option(
        "max_body_bytes",
        ini.integer(1024, 3_000_000),
        "bound on one request body in bytes",
        2_000_000,
    ),
    ini.Option(
        "max_buffered_bytes",
        ini.integer(65_536, 1 << 32),
        "bound on all request bodies held at once in bytes",
        128 * 1024 * 1024,
    ),
    ini.Option(
        "max_in_flight",
        ini.integer(1, 100_000),
        "bound on requests in flight",
        4096,
    ),
    ini.Option(
        "retry_share",
        ini.number(0, 1),
        "retries allowed per request in the long run",
        0.1,
    ),
    ini.Option(
        "drain_delay_s",
        ini.number(0, 300),
        "seconds between the end of readiness and the end of accepting",
        5.0,
    ),
    ini.Option(
        "log_level",
        ini.choice(*logs.LEVELS),
        "least level of log lines",
        "info",
    ),
    ini.Option(
        "storm_factor",
        ini.number(0, 1000),
        "multiple of the others' mean use, by share, at which a workspace "
        "is confined to a third of the busy targets; 0 for never",
        recent_use.STORM_FACTOR,
    ),
)


def load(path: pathlib.Path) -> EntrySettings:
    """Returns the settings in an entry's file.

    Raises:
      InvalidFileError: With all faults of the file.
    """
    common, values = process.load(path, "entry", OPTIONS)
    return EntrySettings(common, **values)
