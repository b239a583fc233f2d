from __future__ import annotations

import contextlib
import subprocess
import sys

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile.sites import stream_messages
from cactusstile.transport import codec
from cactusstile.transport import exceptions
from cactusstile.transport import frame
from cactusstile.transport import messages


@hypothesis.given(
    strategies.lists(strategies.integers(0, 65_535), max_size=5),
    strategies.text(max_size=20).filter(lambda text: "\x00" not in text),
    strategies.integers(0, 2**64 - 1),
    strategies.binary(max_size=50),
)
def test_decode_inverts_encode(
    versions: list[int], name: str, incarnation: int, nonce: bytes
) -> None:
    hello = messages.Hello(tuple(versions), "entry", name, incarnation, nonce)
    assert codec.decode(1, codec.encode(hello)) == hello


@hypothesis.given(strategies.integers(0, 5), strategies.binary(max_size=200))
def test_decode_of_malformed_bytes_raises_protocol_error(
    number: int, data: bytes
) -> None:
    try:
        codec.decode(number, data)
    except exceptions.ProtocolError:
        return


@hypothesis.given(strategies.binary(max_size=300))
def test_frame_decoder_rejects_payloads_beyond_its_limit(data: bytes) -> None:
    decoder = frame.Decoder(max_payload_bytes=64)
    try:
        frames = decoder.feed(data)
    except exceptions.ProtocolError:
        return
    assert all(len(received.payload) <= 64 for received in frames)


def test_frame_decoder_joins_split_frames() -> None:
    data = frame.encode(frame.Kind.CALL, 3, 7, b"payload")
    decoder = frame.Decoder()
    assert decoder.feed(data[:10]) == []
    expected = [frame.Frame(frame.Kind.CALL, 3, 7, b"payload")]
    assert decoder.feed(data[10:]) == expected


def test_frame_encode_rejects_oversized_payload() -> None:
    with pytest.raises(exceptions.ProtocolError):
        frame.encode(frame.Kind.CALL, 1, 1, bytes(frame.MAX_PAYLOAD_BYTES + 1))


TORN = bytes.fromhex(
    "11010601054002110562110912ff3132372e302e302e0007313a350173"
)


def test_packed_message_without_its_last_segment_ends_the_process() -> None:
    """Guards against an exception in a destructor, which no one can catch."""
    program = (
        "import sys\n"
        "from cactusstile.sites import stream_messages\n"
        "from cactusstile.transport import codec\n"
        "number = codec.number_of(stream_messages.FindStream)\n"
        "codec.decode_packed(number, bytes.fromhex(sys.argv[1]))\n"
    )
    done = subprocess.run(  # noqa: S603
        [sys.executable, "-c", program, TORN.hex()], check=False
    )
    assert done.returncode == 0


@hypothesis.given(strategies.data(), strategies.integers(1, 9))
def test_strange_packed_bytes_raise_another_error(
    data: strategies.DataObject, count: int
) -> None:
    strange = bytearray(TORN)
    for _ in range(count):
        place = data.draw(strategies.integers(0, len(TORN) - 1))
        strange[place] = data.draw(strategies.integers(0, 255))
    number = codec.number_of(stream_messages.FindStream)
    with contextlib.suppress(exceptions.ProtocolError):
        codec.decode_packed(number, bytes(strange))
