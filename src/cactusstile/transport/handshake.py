"""Handshake that authenticates both peers by a shared secret.

No other message is read before the peer has proved that it has the secret.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import typing

import attrs

from cactusstile.transport import codec
from cactusstile.transport import exceptions
from cactusstile.transport import frame
from cactusstile.transport import messages

if typing.TYPE_CHECKING:
    import anyio.abc

PROTOCOL_VERSIONS = (1,)
OPERATOR_ROLE = "operator"
_NONCE_BYTES = 32
_MAX_HELLO_BYTES = 4096


@attrs.frozen
class Secrets:
    """Secrets of a deployment.

    Attributes:
      fleet: Secret shared by all processes of the deployment.
      operator: Secret shared by operators and control replicas; operators are
        rejected if it is empty.
    """

    fleet: bytes = attrs.field(repr=False)
    operator: bytes = attrs.field(repr=False, default=b"")

    def of(self, role: str) -> bytes:
        """Returns the secret required of a connection from `role`."""
        return self.operator if role == OPERATOR_ROLE else self.fleet


@attrs.frozen
class Identity:
    """Identity of this process.

    Attributes:
      role: entry, agent, control or operator.
      name: Name of the process, unique within its role.
      incarnation: Random number generated at each start of the process.
    """

    role: str
    name: str
    incarnation: int = attrs.field(
        factory=lambda: int.from_bytes(os.urandom(7), "little")
    )

    def hello(self) -> messages.Hello:
        """Returns a hello message with a new nonce."""
        return messages.Hello(
            PROTOCOL_VERSIONS,
            self.role,
            self.name,
            self.incarnation,
            os.urandom(_NONCE_BYTES),
        )


class _Reader:
    """Reads handshake frames and buffers the frames that follow."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.decoder = frame.Decoder(_MAX_HELLO_BYTES)
        self.frames: list[frame.Frame] = []

    async def read(self, kind: frame.Kind) -> bytes:
        while not self.frames:
            self.frames += self.decoder.feed(await self.stream.receive())
        received = self.frames.pop(0)
        if received.kind is not kind:
            raise exceptions.ProtocolError(
                f"expected {kind.name}, received {received.kind.name}"
            )
        return received.payload


async def connect(
    stream: anyio.abc.ByteStream, identity: Identity, secrets: Secrets
) -> tuple[messages.Hello, list[frame.Frame], frame.Decoder]:
    """Runs the caller's side of the handshake.

    Returns:
      Hello message of the peer, frames received after the handshake, and the
      decoder to continue with.

    Raises:
      AuthenticationError: If the peer does not prove the secret.
      VersionError: If the peers have no protocol version in common.
      ProtocolError: If the peer violates the protocol.
    """
    own_hello = codec.encode(identity.hello())
    await _send(stream, frame.Kind.HELLO, own_hello)
    reader = _Reader(stream)
    peer_hello = await reader.read(frame.Kind.HELLO)
    peer = _decode_hello(peer_hello)
    secret = secrets.of(identity.role)
    version = _choose_version(peer)
    proof = _prove(secret, b"caller", version, own_hello, peer_hello)
    await _send(stream, frame.Kind.PROOF, codec.encode(proof))
    await _verify(reader, secret, b"callee", own_hello, peer_hello)
    return peer, reader.frames, _allow_full_payloads(reader.decoder)


async def accept(
    stream: anyio.abc.ByteStream, identity: Identity, secrets: Secrets
) -> tuple[messages.Hello, list[frame.Frame], frame.Decoder]:
    """Runs the callee's side of the handshake; see `connect`."""
    reader = _Reader(stream)
    peer_hello = await reader.read(frame.Kind.HELLO)
    peer = _decode_hello(peer_hello)
    secret = secrets.of(peer.role)
    if not secret:
        raise exceptions.AuthenticationError(
            f"role {peer.role} is not accepted"
        )
    own_hello = codec.encode(identity.hello())
    await _send(stream, frame.Kind.HELLO, own_hello)
    version = _choose_version(peer)
    await _verify(reader, secret, b"caller", peer_hello, own_hello)
    proof = _prove(secret, b"callee", version, peer_hello, own_hello)
    await _send(stream, frame.Kind.PROOF, codec.encode(proof))
    return peer, reader.frames, _allow_full_payloads(reader.decoder)


async def _send(
    stream: anyio.abc.ByteStream, kind: frame.Kind, payload: bytes
) -> None:
    await stream.send(frame.encode(kind, 0, 0, payload))


def _allow_full_payloads(decoder: frame.Decoder) -> frame.Decoder:
    decoder.max_payload_bytes = frame.MAX_PAYLOAD_BYTES
    return decoder


def _decode_hello(payload: bytes) -> messages.Hello:
    number = codec.number_of(messages.Hello)
    hello = codec.decode(number, payload)
    assert isinstance(hello, messages.Hello)  # noqa: S101
    if len(hello.nonce) != _NONCE_BYTES:
        raise exceptions.ProtocolError("hello has a nonce of the wrong length")
    return hello


def _choose_version(peer: messages.Hello) -> int:
    shared = set(PROTOCOL_VERSIONS).intersection(peer.versions)
    if not shared:
        raise exceptions.VersionError(
            f"{peer.role} {peer.name} supports protocol versions "
            f"{sorted(peer.versions)}, this process {PROTOCOL_VERSIONS}; "
            "upgrade the older of the two"
        )
    return max(shared)


def _prove(
    secret: bytes, side: bytes, version: int, caller: bytes, callee: bytes
) -> messages.Proof:
    digest = hmac.new(secret, side, hashlib.sha256)
    digest.update(version.to_bytes(2, "little"))
    for hello in (caller, callee):
        digest.update(len(hello).to_bytes(4, "little"))
        digest.update(hello)
    return messages.Proof(version, digest.digest())


async def _verify(
    reader: _Reader, secret: bytes, side: bytes, caller: bytes, callee: bytes
) -> None:
    number = codec.number_of(messages.Proof)
    proof = codec.decode(number, await reader.read(frame.Kind.PROOF))
    assert isinstance(proof, messages.Proof)  # noqa: S101
    expected = _prove(secret, side, proof.version, caller, callee)
    if not hmac.compare_digest(expected.mac, proof.mac):
        raise exceptions.AuthenticationError(
            "peer does not prove the deployment's secret; check that both "
            "processes read the same secret file"
        )
