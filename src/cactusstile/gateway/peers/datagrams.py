"""Datagrams between gateways, authenticated by a MAC."""

from __future__ import annotations

import hashlib
import hmac
import typing

import attrs

from cactusstile.sites import limit_messages
from cactusstile.sites import messages
from cactusstile.sites import quarantine_messages
from cactusstile.sites import stream_messages
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions

LoadMessage = messages.GatewayLoad | messages.RelayedLoad | messages.SiteLoad
Message = (
    LoadMessage
    | stream_messages.BegunStreams
    | stream_messages.FindStream
    | quarantine_messages.EndEvidence
    | limit_messages.TargetLimitNotice
)
MAC_BYTES = 16
# Largest content of a UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65_507
_NUMBER_BYTES = 2
_Item = typing.TypeVar("_Item")
# The sizes of loads differ by the lengths of the targets' ids.
_KEPT_FRACTION = 0.9


def encode(secret: bytes, message: Message) -> bytes:
    """Returns the datagram of a message."""
    number = codec.number_of(type(message)).to_bytes(_NUMBER_BYTES, "big")
    data = number + codec.encode_packed(message)
    return _mac(secret, data) + data


def encode_all(secret: bytes, message: Message) -> list[bytes]:
    """Returns the datagrams of a message; several if one cannot carry it.

    Of loads that do not fit, those on the least busy targets are left out: a
    message replaces the one before, so that they cannot be split.
    """
    data = encode(secret, message)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    encoded = []
    for part in _reduce(message, MAX_DATAGRAM_BYTES / len(data)):
        encoded += encode_all(secret, part)
    return encoded


def _reduce(message: Message, fraction: float) -> list[Message]:
    """Returns smaller messages; none if a message cannot be reduced.

    Args:
      message: The message.
      fraction: Size of a datagram, relative to the message.
    """
    if isinstance(message, quarantine_messages.EndEvidence):
        first, second = _halve(message.ends)
        rest = quarantine_messages.EndEvidence(second, ())
        return [attrs.evolve(message, ends=first), rest] if first else []
    if isinstance(message, stream_messages.BegunStreams):
        halves = _halve(message.streams)
        return [attrs.evolve(message, streams=half) for half in halves if half]
    if isinstance(message, LoadMessage):
        return _shorten(message, fraction)
    return []


def _halve(
    items: tuple[_Item, ...],
) -> tuple[tuple[_Item, ...], tuple[_Item, ...]]:
    """Returns two halves; both are empty if there is only one item."""
    if len(items) <= 1:
        return (), ()
    half = len(items) // 2
    return items[:half], items[half:]


def _shorten(message: LoadMessage, fraction: float) -> list[Message]:
    if message.prompts or message.fetches:
        return [attrs.evolve(message, prompts=(), fetches=())]
    busiest = sorted(
        message.targets, key=lambda load: (load.inflight, load.tokens)
    )
    kept = int(len(busiest) * fraction * _KEPT_FRACTION)
    if not kept:
        return []
    return [attrs.evolve(message, targets=tuple(busiest[-kept:]))]


def decode(secret: bytes, datagram: bytes) -> Message | None:
    """Returns the message of a datagram; None if it is not authentic."""
    mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(secret, data)):
        return None
    number = int.from_bytes(data[:_NUMBER_BYTES], "big")
    try:
        message = codec.decode_packed(number, data[_NUMBER_BYTES:])
    except transport_exceptions.ProtocolError:
        return None
    return message if isinstance(message, Message) else None


def _mac(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:MAC_BYTES]
