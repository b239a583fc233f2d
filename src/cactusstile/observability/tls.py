"""TLS certificate of a listener that is reloaded when its files change."""

from __future__ import annotations

import logging
import pathlib
import ssl
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 5.0
_NO_PASSPHRASE = ""


class CertificateError(ValueError):
    """Raised when a certificate and its key cannot be used."""


@attrs.frozen
class CertificateFiles:
    """Paths of a certificate and its key, in PEM format.

    Attributes:
      certificate: Certificate, followed by the certificates of its issuers.
      key: Private key of the certificate, without a passphrase.
    """

    certificate: pathlib.Path
    key: pathlib.Path

    def stat_values(self) -> tuple[int, ...]:
        """Returns modification time, size and inode number of both files.

        Raises:
          OSError: If one of the files does not exist.
        """
        stats = [path.stat() for path in (self.certificate, self.key)]
        return tuple(
            number
            for stat in stats
            for number in (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        )


def load_context(files: CertificateFiles) -> ssl.SSLContext:
    """Creates a server context with the certificate, for TLS 1.2 or later.

    Raises:
      CertificateError: If a file cannot be read, or the key does not belong
        to the certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(
            files.certificate, files.key, password=lambda: _NO_PASSPHRASE
        )
    except ssl.SSLError as error:
        raise CertificateError(
            f"{files.certificate} and {files.key} hold no PEM certificate with "
            f"its private key without a passphrase ({error.reason or error})"
        ) from error
    except OSError as error:
        raise CertificateError(
            f"cannot read {files.certificate} or {files.key}: {error.strerror}"
        ) from error
    return context


class ReloadingCertificate:
    """Certificate that is reloaded when its files change.

    New handshakes use the latest certificate that was loaded; open connections
    are not affected.

    Attributes:
      files: Paths of the certificate and its key.
      context: TLS context for the listener.
    """

    def __init__(
        self,
        files: CertificateFiles,
        count_reload: collections.abc.Callable[[bool], None],
    ) -> None:
        """Loads the certificate.

        Args:
          files: Paths of the certificate and its key.
          count_reload: Called after each reload with whether it succeeded.

        Raises:
          CertificateError: If the certificate cannot be used; see
            `load_context`.
        """
        self.files = files
        self.context = load_context(files)
        self.context.sni_callback = self._use_current_context
        self._current_context = self.context
        self._count_reload = count_reload
        self._loaded_stat_values = _read_stat_values(files)
        self._failed_stat_values: tuple[int, ...] = ()

    def reload_if_changed(self) -> None:
        """Reloads the certificate if its files changed.

        If the new files cannot be used, the old certificate stays in use.
        """
        stat_values = _read_stat_values(self.files)
        if stat_values == self._loaded_stat_values:
            return
        try:
            self._current_context = load_context(self.files)
        except CertificateError as error:
            # The two files may not be replaced at the same time, so a failure
            # can be temporary; it is reported once for each state of the files.
            if stat_values != self._failed_stat_values:
                self._failed_stat_values = stat_values
                self._count_reload(False)
                logger.warning(
                    "reload failed; the old certificate stays in use: %s",
                    error,
                )
            return
        self._loaded_stat_values = stat_values
        self._count_reload(True)
        logger.info("reloaded the certificate from %s", self.files.certificate)

    async def run(self) -> None:
        """Polls the files for changes until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            self.reload_if_changed()

    def _use_current_context(
        self,
        connection: ssl.SSLSocket | ssl.SSLObject,
        _name: str | None,
        _context: ssl.SSLContext,
    ) -> None:
        connection.context = self._current_context


def _read_stat_values(files: CertificateFiles) -> tuple[int, ...]:
    try:
        return files.stat_values()
    except OSError:
        return ()
