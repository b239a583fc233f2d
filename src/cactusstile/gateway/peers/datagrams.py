"""Datagrams between gateways, authenticated by a MAC."""

from __future__ import annotations

import hashlib
import hmac

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
_NUMBER_BYTES = 2


def encode(secret: bytes, message: Message) -> bytes:
    """Returns the datagram of a message."""
    number = codec.number_of(type(message)).to_bytes(_NUMBER_BYTES, "big")
    data = number + codec.encode_packed(message)
    return _mac(secret, data) + data


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
