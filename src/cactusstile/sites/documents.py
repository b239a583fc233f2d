"""Compression of documents that are stored and sent."""

from __future__ import annotations

import zlib

# Bound of a decompressed document, far above the limits of the operator
# interface.
MAX_DOCUMENT_BYTES = 32 << 20
_COMPRESSION_LEVEL = 1


def compress(document: bytes) -> bytes:
    """Returns a document in the form in which it is stored and sent."""
    return zlib.compress(document, _COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Returns the document that `compress` compressed.

    Raises:
      ValueError: The data is malformed, truncated or too large.
    """
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed compressed document: {error}") from error
    if not reader.eof:
        raise ValueError("compressed document is truncated or too large")
    return document
