"""Encodes attrs messages as Cap'n Proto bytes and decodes them.

A message is a frozen attrs class that mirrors a struct of a schema file. The
fields have the same names, in snake case in the class and in camel case in the
schema. Supported field types are bool, int, float, str, bytes, nested messages
and tuples of these.
"""

from __future__ import annotations

import operator
import pathlib
import types
import typing

import attrs
import capnp

from cactusstile.transport import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    Encoder = collections.abc.Callable[[typing.Any, str, typing.Any], None]
    Decoder = collections.abc.Callable[[typing.Any], typing.Any]

capnp.remove_import_hook()

_WORD_BYTES = 8
_TRAVERSAL_SLACK_WORDS = 1024
_MAX_NESTING = 16
# Packed messages are small, but may claim to unpack to any size.
_MAX_PACKED_WORDS = 1 << 16
# The library reads all but the first segment late, where a missing one ends the
# process. Behind a message there is always enough that unpacks to zero words,
# two bytes for each, even if the last bytes are taken for a run of 255 words.
_PACKED_END = bytes(2 * _MAX_PACKED_WORDS + 256 * _WORD_BYTES)
_MALFORMED = (capnp.KjException, ValueError, OverflowError, MemoryError)
_SCALARS = (bool, int, float, str, bytes)

_T = typing.TypeVar("_T")


@attrs.frozen
class _Field:
    name: str
    wire_name: str
    encode: Encoder
    decode: Decoder


@attrs.frozen
class _Codec:
    number: int
    cls: type
    struct: typing.Any
    fields: tuple[_Field, ...]
    read: Decoder


_by_class: dict[type, _Codec] = {}
_by_number: dict[int, _Codec] = {}
_schemas: dict[pathlib.Path, typing.Any] = {}


def load_schema(module_file: str, name: str) -> typing.Any:
    """Loads the schema file `name` in the folder of `module_file`."""
    path = pathlib.Path(module_file).with_name(name)
    if path not in _schemas:
        _schemas[path] = capnp.load(str(path))
    return _schemas[path]


def register(
    number: int, schema: typing.Any, struct: str
) -> collections.abc.Callable[[type[_T]], type[_T]]:
    """Returns a decorator that registers an attrs class for a schema struct.

    Args:
      number: Type number on the wire, unique in the entire system; 0 for a
        struct that is only nested in others.
      schema: Loaded schema; see `load_schema`.
      struct: Name of the struct in the schema.

    Raises:
      ValueError: If the number is in use.
    """

    def decorate(cls: type[_T]) -> type[_T]:
        if number and number in _by_number:
            taken = _by_number[number].cls.__qualname__
            raise ValueError(f"message number {number} is taken by {taken}")
        fields = _build_fields(cls)
        read = _build_reader(cls, fields)
        codec = _Codec(number, cls, getattr(schema, struct), fields, read)
        _by_class[cls] = codec
        if number:
            _by_number[number] = codec
        return cls

    return decorate


def number_of(cls: type) -> int:
    """Returns the type number of a registered message class."""
    return _by_class[cls].number


def encode(message: object) -> bytes:
    """Encodes a registered message."""
    codec = _by_class[type(message)]
    builder = codec.struct.new_message()
    _fill(codec, builder, message)
    return typing.cast("bytes", builder.to_bytes())


def decode(number: int, data: bytes) -> object:
    """Decodes a message of type `number`.

    Raises:
      ProtocolError: If the type is unknown or the bytes are malformed.
    """
    codec = _find(number)
    limit = len(data) // _WORD_BYTES + _TRAVERSAL_SLACK_WORDS
    try:
        with codec.struct.from_bytes(
            data, traversal_limit_in_words=limit, nesting_limit=_MAX_NESTING
        ) as reader:
            return codec.read(reader)
    except _MALFORMED as error:
        raise _malformed(codec) from error


def encode_packed(message: object) -> bytes:
    """Encodes a registered message without its runs of zero bytes."""
    codec = _by_class[type(message)]
    builder = codec.struct.new_message()
    _fill(codec, builder, message)
    return typing.cast("bytes", builder.to_bytes_packed())


def decode_packed(number: int, data: bytes) -> object:
    """Decodes a message by `encode_packed`; see `decode`.

    Raises:
      ProtocolError: If the type is unknown or the bytes are malformed.
    """
    codec = _find(number)
    try:
        reader = codec.struct.from_bytes_packed(
            data + _PACKED_END,
            traversal_limit_in_words=_MAX_PACKED_WORDS,
            nesting_limit=_MAX_NESTING,
        )
        return codec.read(reader)
    except _MALFORMED as error:
        raise _malformed(codec) from error


def _find(number: int) -> _Codec:
    codec = _by_number.get(number)
    if codec is None:
        raise exceptions.ProtocolError(f"unknown message type {number}")
    return codec


def _malformed(codec: _Codec) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(f"malformed {codec.cls.__name__}")


def _fill(codec: _Codec, builder: typing.Any, message: object) -> None:
    for field in codec.fields:
        field.encode(builder, field.wire_name, getattr(message, field.name))


def _build_reader(cls: type, fields: tuple[_Field, ...]) -> Decoder:
    """Returns a function that builds a message from the reader of a struct.

    All fields are read by one call; only those that need it are converted.
    """
    if not fields:
        return lambda _: cls()
    if len(fields) == 1:
        only = fields[0]
        return lambda reader: cls(only.decode(getattr(reader, only.wire_name)))
    read_fields = operator.attrgetter(*(field.wire_name for field in fields))
    converted = [
        (position, field.decode)
        for position, field in enumerate(fields)
        if field.decode is not _identity
    ]
    if not converted:
        return lambda reader: cls(*read_fields(reader))

    def read(reader: typing.Any) -> object:
        values = list(read_fields(reader))
        for position, decode in converted:
            values[position] = decode(values[position])
        return cls(*values)

    return read


def _build_fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    fields = []
    for attribute in attrs.fields(cls):
        head, *rest = attribute.name.split("_")
        wire_name = head + "".join(part.capitalize() for part in rest)
        encoder, decoder = _converters(hints[attribute.name])
        fields.append(_Field(attribute.name, wire_name, encoder, decoder))
    return tuple(fields)


def _converters(field_type: typing.Any) -> tuple[Encoder, Decoder]:
    if field_type in _SCALARS:
        return setattr, _identity if field_type is not bytes else bytes
    if typing.get_origin(field_type) is tuple:
        return _tuple_converters(typing.get_args(field_type)[0])
    if isinstance(field_type, types.UnionType) or field_type not in _by_class:
        raise TypeError(f"unsupported field type {field_type!r}")
    codec = _by_class[field_type]

    def encode_nested(builder: typing.Any, name: str, value: object) -> None:
        _fill(codec, builder.init(name), value)

    return encode_nested, codec.read


def _tuple_converters(item: typing.Any) -> tuple[Encoder, Decoder]:
    if item in _SCALARS:
        convert = bytes if item is bytes else _identity

        def encode_scalars(
            builder: typing.Any, name: str, values: tuple[object, ...]
        ) -> None:
            if values:
                setattr(builder, name, list(values))

        return encode_scalars, lambda reader: tuple(map(convert, reader))
    codec = _by_class[item]

    def encode_messages(
        builder: typing.Any, name: str, values: tuple[object, ...]
    ) -> None:
        if not values:
            return
        items = builder.init(name, len(values))
        for position, value in enumerate(values):
            _fill(codec, items[position], value)

    return encode_messages, lambda reader: tuple(map(codec.read, reader))


def _identity(value: typing.Any) -> typing.Any:
    return value
