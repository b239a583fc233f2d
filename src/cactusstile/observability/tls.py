"""Certificate of a TLS listener, taken up anew when its files change."""

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
    """Raised when a certificate and key cannot be used; says what to do."""


@attrs.frozen
class CertificateFiles:
    """Files of a certificate, in PEM.

    Attributes:
      certificate: Certificate, followed by those of its issuers.
      key: Its private key, without a passphrase.
    """

    certificate: pathlib.Path
    key: pathlib.Path

    def stamps(self) -> tuple[int, ...]:
        """Returns numbers that change with the files.

        Raises:
          OSError: If one of them cannot be found.
        """
        found = [path.stat() for path in (self.certificate, self.key)]
        return tuple(
            number
            for stat in found
            for number in (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        )


def load_context(files: CertificateFiles) -> ssl.SSLContext:
    """Returns a context that presents the certificate; TLS 1.2 at least.

    Raises:
      CertificateError: If a file cannot be read, or the two do not match.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(
            files.certificate, files.key, password=lambda: _NO_PASSPHRASE
        )
    except ssl.SSLError as error:
        raise CertificateError(
            f"{files.certificate} and {files.key} are no PEM certificate with "
            f"its private key without a passphrase ({error.reason or error})"
        ) from error
    except OSError as error:
        raise CertificateError(
            f"cannot read {files.certificate} or {files.key}: {error.strerror}"
        ) from error
    return context


class ReloadingCertificate:
    """A certificate that follows its files.

    Handshakes take the newest certificate that could be loaded; connections
    that are open keep theirs.

    Attributes:
      files: Its files.
      context: Context for the listener.
    """

    def __init__(
        self,
        files: CertificateFiles,
        count_reload: collections.abc.Callable[[bool], None],
    ) -> None:
        """Loads the certificate.

        Args:
          files: Its files.
          count_reload: Called after each reload; says whether it succeeded.

        Raises:
          CertificateError: As of `load_context`.
        """
        self.files = files
        self.context = load_context(files)
        self.context.sni_callback = self._choose
        self._current = self.context
        self._count_reload = count_reload
        self._stamps = _read_stamps(files)
        self._failed_stamps: tuple[int, ...] = ()

    def reload_if_changed(self) -> None:
        """Takes up changed files; keeps the old certificate if they fail."""
        stamps = _read_stamps(self.files)
        if stamps == self._stamps:
            return
        try:
            self._current = load_context(self.files)
        except CertificateError as error:
            # The two files may be replaced one after the other.
            if stamps != self._failed_stamps:
                self._failed_stamps = stamps
                self._count_reload(False)
                logger.warning("the old certificate stays in use: %s", error)
            return
        self._stamps = stamps
        self._count_reload(True)
        logger.info("new certificate from %s", self.files.certificate)

    async def run(self) -> None:
        """Looks for changed files until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            self.reload_if_changed()

    def _choose(
        self,
        connection: ssl.SSLSocket | ssl.SSLObject,
        _name: str | None,
        _context: ssl.SSLContext,
    ) -> None:
        connection.context = self._current


def _read_stamps(files: CertificateFiles) -> tuple[int, ...]:
    try:
        return files.stamps()
    except OSError:
        return ()
