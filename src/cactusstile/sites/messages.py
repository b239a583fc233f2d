"""Messages by which gateways receive the state of a site and share loads."""

from __future__ import annotations

import attrs

from cactusstile.sites import documents
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


@codec.register(0, _SCHEMA, "GatewayMember")
@attrs.frozen
class GatewayMember:
    """A gateway, as the others know it.

    Attributes:
      address: Address at which it receives the loads of other gateways.
      data_centre: Data centre of its VM.
      link_mbps: Bandwidth of its VM's link, in Mbit/s.
    """

    address: str
    data_centre: str
    link_mbps: float


@codec.register(516, _SCHEMA, "GatewayList")
@attrs.frozen
class GatewayList:
    """Item: all gateways that follow the leader."""

    members: tuple[GatewayMember, ...]


@codec.register(510, _SCHEMA, "Watch")
@attrs.frozen
class Watch:
    """Call of a gateway, answered with items until it is closed.

    Attributes:
      known_version: Version of the configuration that the gateway holds; -1
        for none.
      member: The gateway.
      question: Number of the first question; see `view_messages`. 0 if the
        gateway is of an older build, which asks none.
    """

    known_version: int
    member: GatewayMember
    question: int = 0


@codec.register(511, _SCHEMA, "ConfigurationInForce")
@attrs.frozen
class ConfigurationInForce:
    """Item: the configuration in force.

    Attributes:
      version: Its version.
      document: The document, compressed.
      shared_scope: Number of the cache scope of the workspaces that are not
        isolated.
    """

    version: int
    document: bytes
    shared_scope: int = 0


@codec.register(0, _SCHEMA, "AnnouncedWeights")
@attrs.frozen
class AnnouncedWeights:
    """A version of a model's weights, with the time since its announcement.

    Attributes:
      model: The model.
      version: The version.
      age_ms: Time since the announcement, in ms, at most
        `ages.MAX_AGE_MS`.
    """

    model: str
    version: int
    age_ms: int


@codec.register(512, _SCHEMA, "WeightsInForce")
@attrs.frozen
class WeightsInForce:
    """Item: the versions of the models' weights.

    Attributes:
      weights: Newest version of each model.
      announced: All versions that engines may still lack.
    """

    weights: tuple[NamedWeights, ...]
    announced: tuple[AnnouncedWeights, ...] = ()


@codec.register(0, _SCHEMA, "ListedTarget")
@attrs.frozen
class ListedTarget:
    """A listed target; see `model.Target`."""

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
    build: str = ""


@codec.register(513, _SCHEMA, "TargetList")
@attrs.frozen
class TargetList:
    """Item: all targets."""

    targets: tuple[ListedTarget, ...]


@codec.register(0, _SCHEMA, "KeptPart")
@attrs.frozen
class KeptPart:
    """A stored part; see `model.KeptPart`."""

    salt: str
    id: str
    tokens: int


@codec.register(0, _SCHEMA, "StoreUpdate")
@attrs.frozen
class StoreUpdate:
    """Parts of one store that gateways may use.

    Attributes:
      address: Address of the store.
      open: Whether parts may be fetched and saved.
      fetch_until_ms: Time by which a fetch must have ended, in ms on the clock
        that all targets share.
      whole: Whether `changes` replaces all parts sent before.
      changes: Present state of the changed parts; 0 tokens mark a removed part.
      retired_tokens: Tokens of parts that gateways may no longer use, but that
        are not freed yet.
    """

    address: str
    open: bool
    fetch_until_ms: float
    whole: bool
    changes: tuple[KeptPart, ...]
    retired_tokens: int = 0


@codec.register(515, _SCHEMA, "StoreUpdates")
@attrs.frozen
class StoreUpdates:
    """Item: changes of all stores."""

    stores: tuple[StoreUpdate, ...]


@codec.register(517, _SCHEMA, "CompressedStoreUpdates")
@attrs.frozen
class CompressedStoreUpdates:
    """Item: `StoreUpdates` with the full contents; see `compress_updates`."""

    data: bytes


@codec.register(514, _SCHEMA, "Confirmation")
@attrs.frozen
class Confirmation:
    """Item: a quorum has confirmed that the state sent is the newest.

    Attributes:
      list_age_ms: Age of the target list, in ms.
      control: Addresses of all control processes.
      question: Newest question of the gateway that the quorum's confirmation
        came after; 0 if control is of an older build, which answers none.
      version: Version of the configuration that was confirmed.
    """

    list_age_ms: int
    control: tuple[str, ...]
    question: int = 0
    version: int = 0


@codec.register(0, _SCHEMA, "TargetLoad")
@attrs.frozen
class TargetLoad:
    """Load that one gateway puts on one target.

    Attributes:
      id: Id of the target.
      inflight: Requests in progress.
      unread_tokens: Prompt tokens of requests that have returned no event yet.
      tokens: Tokens of memory that the requests occupy.
    """

    id: str
    inflight: int
    unread_tokens: int
    tokens: int


@codec.register(0, _SCHEMA, "SentPart")
@attrs.frozen
class SentPart:
    """A part of a prompt that was sent to an engine."""

    id: str
    tokens: int


@codec.register(0, _SCHEMA, "SentPrompt")
@attrs.frozen
class SentPrompt:
    """A prompt that was sent to an engine, which now caches it.

    Attributes:
      target: Id of the engine.
      salt: Salt of the prompt's KV cache.
      parts: Parts of the prompt, in order.
    """

    target: str
    salt: str
    parts: tuple[SentPart, ...]


@codec.register(0, _SCHEMA, "ObservedFetch")
@attrs.frozen
class ObservedFetch:
    """What a fetch of KV cache added to the time to the first event.

    Attributes:
      source: Address of the store or engine.
      tokens: Number of fetched tokens.
      ratio: Added time, relative to the time to prefill these tokens.
    """

    source: str
    tokens: int
    ratio: float


@codec.register(520, _SCHEMA, "GatewayLoad")
@attrs.frozen
class GatewayLoad:
    """Datagram to a relay: load of one gateway.

    Targets that a datagram omits have no load.

    Attributes:
      gateway: Address of the gateway.
      sequence: Number of the report, by which the answer refers to it.
      targets: Load on each target.
      prompts: Prompts that the gateway sent since its last datagram.
      fetches: Fetches that it observed since then.
    """

    gateway: str
    sequence: int
    targets: tuple[TargetLoad, ...]
    prompts: tuple[SentPrompt, ...]
    fetches: tuple[ObservedFetch, ...]


@codec.register(521, _SCHEMA, "RelayedLoad")
@attrs.frozen
class RelayedLoad:
    """Datagram to another relay: sum of what a relay and its gateways load.

    Attributes:
      relay: Address of the relay.
      targets: Load on each target.
      prompts: Prompts that these gateways sent since the last datagram.
      fetches: Fetches that they observed since then.
    """

    relay: str
    targets: tuple[TargetLoad, ...]
    prompts: tuple[SentPrompt, ...]
    fetches: tuple[ObservedFetch, ...]


@codec.register(0, _SCHEMA, "IncludedReport")
@attrs.frozen
class IncludedReport:
    """Newest report of a gateway that a sum includes."""

    gateway: str
    sequence: int


@codec.register(522, _SCHEMA, "SiteLoad")
@attrs.frozen
class SiteLoad:
    """Datagram from a relay to the gateways that report to it.

    Attributes:
      relay: Address of the relay.
      targets: Load of all gateways on each target.
      included: Reports that this sum includes.
      prompts: Prompts that gateways sent since the last datagram.
      fetches: Fetches that gateways observed since then.
    """

    relay: str
    targets: tuple[TargetLoad, ...]
    included: tuple[IncludedReport, ...]
    prompts: tuple[SentPrompt, ...]
    fetches: tuple[ObservedFetch, ...]


def encode_target(target: model.Target) -> ListedTarget:
    """Returns the message for a target."""
    weights = tuple(
        NamedWeights(held.model, held.version) for held in target.weights
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
        target.build,
    )


def decode_target(listed: ListedTarget) -> model.Target:
    """Returns the target of a message by `encode_target`.

    Raises:
      ValueError: The address is malformed.
    """
    weights = tuple(
        model.Weights(held.model, held.version) for held in listed.weights
    )
    return model.Target(
        id=listed.id,
        service=listed.service,
        address=address.parse(listed.address),
        data_centre=listed.data_centre,
        slots=listed.slots,
        leaving=listed.leaving,
        born_ms=listed.born_ms,
        cold_s=listed.cold_s,
        weights=weights,
        swapping=listed.swapping,
        build=listed.build,
    )


def compress_updates(updates: StoreUpdates) -> CompressedStoreUpdates:
    """Returns updates in the form for many receivers or slow links."""
    return CompressedStoreUpdates(documents.compress(codec.encode(updates)))


def decompress_updates(item: CompressedStoreUpdates) -> StoreUpdates:
    """Returns the updates of an item by `compress_updates`.

    Raises:
      ValueError: The data is malformed.
      ProtocolError: The data contains no updates.
    """
    data = documents.decompress(item.data)
    updates = codec.decode(codec.number_of(StoreUpdates), data)
    assert isinstance(updates, StoreUpdates)  # noqa: S101
    return updates
