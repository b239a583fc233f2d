"""Documents as they are kept and sent: compressed."""

from __future__ import annotations

import zlib

# Bound of a document, far above what an operator's limits allow.
MAX_DOCUMENT_BYTES = 32 << 20
_COMPRESSION_LEVEL = 1


def compress(document: bytes) -> bytes:
    """Returns a document as it is kept and sent."""
    return zlib.compress(document, _COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Returns the document that `compress` took.

    Raises:
      ValueError: The bytes are malformed or too large.
    """
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"a document cannot be read: {error}") from error
    if not reader.eof:
        raise ValueError("a document is cut short or too large")
    return document
