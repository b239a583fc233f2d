"""Frames, the units of transmission on a connection."""

from __future__ import annotations

import enum
import struct

import attrs

from cactusstile.transport import exceptions

MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
_HEADER = struct.Struct("<IBxHQ")
HEADER_BYTES = _HEADER.size


class Kind(enum.IntEnum):
    """Purpose of a frame."""

    HELLO = 1
    PROOF = 2
    CALL = 3
    ITEM = 4
    END = 5
    ERROR = 6
    CANCEL = 7
    CREDIT = 8
    NOTICE = 9
    PING = 10
    PONG = 11


_KINDS = {int(kind): kind for kind in Kind}


@attrs.frozen
class Frame:
    """Frame of a connection.

    Attributes:
      kind: Purpose of the frame.
      number: Type number of the message in the payload; 0 without a message.
      call_id: Number of the call, chosen by the caller; 0 outside calls. In a
        credit frame it identifies the call to which the credit is granted.
      payload: Encoded message; in a credit frame the number of bytes granted,
        as a 64-bit little-endian integer.
    """

    kind: Kind
    number: int
    call_id: int
    payload: bytes = b""


def encode(kind: Kind, number: int, call_id: int, payload: bytes) -> bytes:
    """Encodes a frame.

    Raises:
      ProtocolError: If the payload exceeds `MAX_PAYLOAD_BYTES`.

    >>> len(encode(Kind.PING, 0, 0, b"")) == HEADER_BYTES
    True
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise exceptions.ProtocolError(
            f"message of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES}"
        )
    return _HEADER.pack(len(payload), kind, number, call_id) + payload


class Decoder:
    """Splits a byte stream into frames.

    Attributes:
      max_payload_bytes: Maximum payload size, checked before buffering.
    """

    def __init__(self, max_payload_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        """Creates a decoder at a frame boundary."""
        self.max_payload_bytes = max_payload_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes.

        Raises:
          ProtocolError: If a header is malformed or a payload is too large.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= HEADER_BYTES:
            length, kind, number, call_id = _HEADER.unpack_from(
                self._buffer, start
            )
            if kind not in _KINDS:
                raise exceptions.ProtocolError(f"unknown frame kind {kind}")
            if length > self.max_payload_bytes:
                raise exceptions.ProtocolError(
                    f"frame of {length} bytes exceeds {self.max_payload_bytes}"
                )
            end = start + HEADER_BYTES + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[start + HEADER_BYTES : end])
            frames.append(Frame(_KINDS[kind], number, call_id, payload))
            start = end
        del self._buffer[:start]
        return frames
