"""What gateways are told of a site."""

from __future__ import annotations

import attrs

from cactusstile.sites import model
from cactusstile.transport import address
from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(0, _SCHEMA, "NamedWeights")
@attrs.frozen
class NamedWeights:
    """A version of a model's weights."""

    model: str
    version: int


@codec.register(510, _SCHEMA, "Watch")
@attrs.frozen
class Watch:
    """Call of a gateway: answered with items for as long as it is open.

    Attributes:
      known_version: Version of the configuration that the gateway holds; -1
        for none.
      address: Address at which it takes the loads of other gateways.
    """

    known_version: int
    address: str


@codec.register(511, _SCHEMA, "ConfigurationInForce")
@attrs.frozen
class ConfigurationInForce:
    """Item: a configuration, compressed."""

    version: int
    document: bytes


@codec.register(512, _SCHEMA, "WeightsInForce")
@attrs.frozen
class WeightsInForce:
    """Item: the newest versions of all models' weights."""

    weights: tuple[NamedWeights, ...]


@codec.register(0, _SCHEMA, "ListedTarget")
@attrs.frozen
class ListedTarget:
    """A target as the platform lists it; see `model.Target`."""

    id: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    cold_s: float
    weights: tuple[NamedWeights, ...]
    swapping: bool


@codec.register(513, _SCHEMA, "TargetList")
@attrs.frozen
class TargetList:
    """Item: all targets."""

    targets: tuple[ListedTarget, ...]


@codec.register(0, _SCHEMA, "KeptPart")
@attrs.frozen
class KeptPart:
    """A part in a store; see `model.KeptPart`."""

    salt: str
    id: str
    tokens: int


@codec.register(0, _SCHEMA, "StoreUpdate")
@attrs.frozen
class StoreUpdate:
    """What gateways may use of one store.

    Attributes:
      address: Address of the store.
      open: Whether parts may be fetched and saved.
      fetch_until_ms: Time by which a fetch must have ended, on the clock that
        all targets share.
      whole: Whether `changes` replace all that was known.
      changes: Parts as they are now; one without tokens is gone.
    """

    address: str
    open: bool
    fetch_until_ms: float
    whole: bool
    changes: tuple[KeptPart, ...]


@codec.register(515, _SCHEMA, "StoreUpdates")
@attrs.frozen
class StoreUpdates:
    """Item: what changed in all stores."""

    stores: tuple[StoreUpdate, ...]


@codec.register(514, _SCHEMA, "Confirmation")
@attrs.frozen
class Confirmation:
    """Item: a quorum confirmed a moment ago that what was sent is newest.

    Attributes:
      list_age_ms: Age of the list of targets.
      gateways: Addresses at which gateways take each other's loads.
      control: Addresses of all control processes.
    """

    list_age_ms: int
    gateways: tuple[str, ...]
    control: tuple[str, ...]


@codec.register(0, _SCHEMA, "TargetLoad")
@attrs.frozen
class TargetLoad:
    """Requests of one gateway at one target.

    Attributes:
      id: Id of the target.
      inflight: Requests under way.
      unread_tokens: Prompt tokens of those without any event yet.
      tokens: Tokens of memory that the requests take.
    """

    id: str
    inflight: int
    unread_tokens: int
    tokens: int


@codec.register(0, _SCHEMA, "SentPart")
@attrs.frozen
class SentPart:
    """A part of a prompt that was sent."""

    id: str
    tokens: int


@codec.register(0, _SCHEMA, "SentPrompt")
@attrs.frozen
class SentPrompt:
    """A prompt that an engine was sent, and now keeps.

    Attributes:
      target: Id of the engine.
      salt: Salt of its KV cache.
      parts: Parts of the prompt, in order.
    """

    target: str
    salt: str
    parts: tuple[SentPart, ...]


@codec.register(520, _SCHEMA, "GatewayLoad")
@attrs.frozen
class GatewayLoad:
    """Datagram: what a gateway has under way; other targets have none.

    Attributes:
      gateway: Name of the gateway.
      targets: Its load at targets.
      prompts: Prompts that it sent since its last datagram.
    """

    gateway: str
    targets: tuple[TargetLoad, ...]
    prompts: tuple[SentPrompt, ...]


def encode_target(target: model.Target) -> ListedTarget:
    """Returns a target as sent."""
    weights = tuple(
        NamedWeights(one.model, one.version) for one in target.weights
    )
    return ListedTarget(
        target.id,
        target.born_ms,
        target.service,
        str(target.address),
        target.data_centre,
        target.slots,
        target.leaving,
        target.cold_s,
        weights,
        target.swapping,
    )


def decode_target(sent: ListedTarget) -> model.Target:
    """Returns the target that `encode_target` wrote."""
    weights = tuple(
        model.Weights(one.model, one.version) for one in sent.weights
    )
    return model.Target(
        id=sent.id,
        service=sent.service,
        address=address.parse(sent.address),
        data_centre=sent.data_centre,
        slots=sent.slots,
        leaving=sent.leaving,
        born_ms=sent.born_ms,
        cold_s=sent.cold_s,
        weights=weights,
        swapping=sent.swapping,
    )
