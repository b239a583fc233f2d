"""Encoding of commands and results of the replicated state machines."""

from __future__ import annotations

from cactusstile.control import exceptions
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import messages

_TYPE_NUMBER_BYTES = 2


def pack(message: object) -> bytes:
    """Returns an encoded message, prefixed with its type number."""
    number = codec.number_of(type(message))
    return number.to_bytes(_TYPE_NUMBER_BYTES, "little") + codec.encode(message)


def unpack(data: bytes) -> object:
    """Returns the message that `pack` encoded.

    Raises:
      ProtocolError: If the bytes are malformed.
    """
    number = int.from_bytes(data[:_TYPE_NUMBER_BYTES], "little")
    return codec.decode(number, data[_TYPE_NUMBER_BYTES:])


def refuse(code: str, message: str, detail: str = "") -> messages.CallError:
    """Returns the result of a command that was refused without effect."""
    return messages.CallError(code, message, detail)


def unpack_result(data: bytes) -> object:
    """Decodes the result of a command.

    Raises:
      RemoteError: If the state machine refused the command.
    """
    result = unpack(data)
    if isinstance(result, messages.CallError):
        raise transport_exceptions.RemoteError(
            result.code, result.message, result.detail
        )
    return result


def unpack_image(data: bytes, cls: type) -> object:
    """Decodes a snapshot of type `cls`.

    Raises:
      SnapshotError: If the bytes are malformed or of another type.
    """
    try:
        image = unpack(data)
    except transport_exceptions.ProtocolError as error:
        raise exceptions.SnapshotError(
            f"snapshot cannot be decoded: {error}"
        ) from error
    if not isinstance(image, cls):
        raise exceptions.SnapshotError(
            f"snapshot is not of type {cls.__name__}"
        )
    return image
