"""Commands and results of the replicated state: typed messages as bytes."""

from __future__ import annotations

from cactusstile.control import exceptions
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import messages

_NUMBER_BYTES = 2


def pack(message: object) -> bytes:
    """Returns a registered message with its type number in front."""
    number = codec.number_of(type(message))
    return number.to_bytes(_NUMBER_BYTES, "little") + codec.encode(message)


def unpack(data: bytes) -> object:
    """Returns the message that `pack` wrote.

    Raises:
      ProtocolError: If the bytes are malformed.
    """
    number = int.from_bytes(data[:_NUMBER_BYTES], "little")
    return codec.decode(number, data[_NUMBER_BYTES:])


def refuse(code: str, message: str, detail: str = "") -> messages.CallError:
    """Returns a result that refuses a command; it changed nothing."""
    return messages.CallError(code, message, detail)


def unpack_result(data: bytes) -> object:
    """Returns the result of a command.

    Raises:
      RemoteError: If the state refused the command.
    """
    result = unpack(data)
    if isinstance(result, messages.CallError):
        raise transport_exceptions.RemoteError(
            result.code, result.message, result.detail
        )
    return result


def unpack_image(data: bytes, cls: type) -> object:
    """Returns the snapshot of type `cls` in `data`.

    Raises:
      SnapshotError: If the bytes are malformed or of another type.
    """
    try:
        image = unpack(data)
    except transport_exceptions.ProtocolError as error:
        raise exceptions.SnapshotError(f"unreadable: {error}") from error
    if not isinstance(image, cls):
        raise exceptions.SnapshotError(f"no {cls.__name__}")
    return image
