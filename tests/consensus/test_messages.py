from __future__ import annotations

import typing

import attrs
import hypothesis
from hypothesis import strategies

from cactusstile.consensus import messages
from cactusstile.transport import codec

unsigned = strategies.integers(0, 2**63)
text = strategies.text("abc.0123", max_size=20)
entries = strategies.builds(
    messages.Entry,
    unsigned,
    unsigned,
    strategies.integers(0, 2),
    strategies.binary(max_size=50),
)
fields = {
    "int": unsigned,
    "str": text,
    "bytes": strategies.binary(max_size=50),
    "bool": strategies.booleans(),
    "float": strategies.floats(0, 1e9),
    "tuple[Entry, ...]": strategies.lists(entries, max_size=3).map(tuple),
}


def _any_of(cls: type) -> strategies.SearchStrategy[typing.Any]:
    values = {}
    for field in attrs.fields(cls):
        values[field.name] = fields[str(field.type)]
    if "round" in values:
        values["round"] = strategies.integers(-1, 2**62)
    return strategies.builds(cls, **values)


any_message = strategies.one_of(
    [_any_of(cls) for cls in typing.get_args(messages.Message)]
)


@hypothesis.given(any_message)
def test_decode_inverts_encode_for_every_message(
    message: messages.Message,
) -> None:
    number = codec.number_of(type(message))
    assert codec.decode(number, codec.encode(message)) == message
