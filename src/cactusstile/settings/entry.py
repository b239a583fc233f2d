"""Entry settings: the `[entry]` section of the settings file."""

from __future__ import annotations

import pathlib

import attrs

from cactusstile.limits import recent_use
from cactusstile.observability import logs
from cactusstile.observability import tls
from cactusstile.settings import ini
from cactusstile.settings import process
from cactusstile.transport import address

DEFAULT_MAX_CONNECTIONS = 4096


@attrs.frozen
class EntrySettings:
    """Settings of an entry.

    Attributes:
      process: Settings common to all roles.
      callers_listen: Address that callers connect to.
      max_body_bytes: Maximum size of a request body, in bytes.
      max_buffered_bytes: Maximum total size of the requests that are held, in
        bytes.
      max_in_flight: Maximum number of requests in flight.
      retry_share: Long-run average of retries allowed per request.
      drain_delay_s: Time between reporting not ready and closing the
        listener, in seconds, so that the load balancer can react.
      log_level: Minimum level of log lines.
      storm_factor: Multiple of the other workspaces' mean use, weighted by
        share, at which a workspace counts as storming; 0 disables the
        check.
      tls_certificate: Path of the certificate of the callers' listener; empty
        for plain HTTP.
      tls_key: Path of the certificate's private key.
      max_connections: Maximum number of connections of callers.
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
    tls_certificate: str = ""
    tls_key: str = ""
    max_connections: int = DEFAULT_MAX_CONNECTIONS

    @property
    def tls_files(self) -> tls.CertificateFiles | None:
        """TLS files of the callers' listener; None for plain HTTP."""
        if not self.tls_certificate:
            return None
        return tls.CertificateFiles(
            pathlib.Path(self.tls_certificate), pathlib.Path(self.tls_key)
        )


def _parse_readable_file(text: str) -> str:
    """Returns the path of a file after checking that it is readable.

    Raises:
      ValueError: If the file cannot be opened.
    """
    try:
        with pathlib.Path(text).open("rb"):
            return text
    except OSError as error:
        raise ValueError(
            f"cannot read the file {text!r}: {error.strerror}"
        ) from error


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
        "bound on all requests held at once, heads and bodies, in bytes",
        128 * 1024 * 1024,
    ),
    ini.Option(
        "max_in_flight",
        ini.integer(1, 100_000),
        "bound on requests in flight",
        4096,
    ),
    ini.Option(
        "max_connections",
        ini.integer(1, 1_000_000),
        "bound on connections of callers, also three eighths of descriptors",
        DEFAULT_MAX_CONNECTIONS,
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
    ini.Option(
        "tls_certificate",
        _parse_readable_file,
        "PEM certificate for callers with its issuers; none serves plain HTTP",
        "",
    ),
    ini.Option(
        "tls_key",
        _parse_readable_file,
        "PEM private key of the certificate, without a passphrase",
        "",
    ),
)


def load(path: pathlib.Path) -> EntrySettings:
    """Reads the settings file of an entry.

    Raises:
      InvalidFileError: If the file is invalid; lists the problems found.
    """
    common, values = process.load(path, "entry", OPTIONS)
    settings = EntrySettings(common, **values)
    _check_tls(path, settings)
    return settings


def _check_tls(path: pathlib.Path, settings: EntrySettings) -> None:
    """Checks that certificate and key are set together and can be loaded."""
    certificate, key = settings.tls_certificate, settings.tls_key
    problem = None
    if bool(certificate) != bool(key):
        missing = "tls_key" if certificate else "tls_certificate"
        text = "missing; write both tls_certificate and tls_key, or neither"
        problem = ini.Problem(str(path), "entry", missing, text)
    elif settings.tls_files is not None:
        try:
            tls.load_context(settings.tls_files)
        except tls.CertificateError as error:
            option = "tls_certificate"
            problem = ini.Problem(str(path), "entry", option, str(error))
    if problem is not None:
        raise ini.InvalidFileError([problem])
