"""Handlers of the calls and notices that a control process serves."""

from __future__ import annotations

import time
import typing

import attrs

from cactusstile.consensus import messages as consensus_messages
from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import feed_messages
from cactusstile.control import member_handlers
from cactusstile.control import member_messages
from cactusstile.control import messages
from cactusstile.control import state as states
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import messages as transport_messages

CONTROL_ROLE = "control"
MAX_HISTORY = 1024


def build(state: states.ControlState) -> incoming.Handlers:
    """Returns the handlers of a control process."""
    calls: dict[type, incoming.CallHandler] = {}
    calls.update(_build_read_handlers(state))
    calls.update(_build_claim_handlers(state))
    calls.update(_build_fence_handlers(state))
    calls.update(_build_operator_handlers(state))
    calls[feed_messages.Subscribe] = state.relay.serve
    return incoming.Handlers(calls, _build_notice_handlers(state))


def restrict_to_operators(
    handler: incoming.CallHandler,
) -> incoming.CallHandler:
    """Returns a handler that refuses calls of all roles but operators."""

    async def check_role_and_handle(
        responder: incoming.Responder, message: typing.Any
    ) -> object:
        if responder.peer.role != handshake.OPERATOR_ROLE:
            raise transport_exceptions.RemoteError(
                "forbidden", "only operators may ask for this"
            )
        return await handler(responder, message)

    return check_role_and_handle


def _build_read_handlers(
    state: states.ControlState,
) -> dict[type, incoming.CallHandler]:
    async def read_revision(
        _: incoming.Responder, __: messages.ReadRevision
    ) -> object:
        await states.confirm_leadership(state.configuration_replica)
        digest = encoding.digest_bytes(state.configuration.digest)
        revision = state.configuration.fleet.revision
        return messages.FleetRevision(revision, digest)

    async def read_fleet(
        _: incoming.Responder, __: messages.ReadFleet
    ) -> object:
        await states.confirm_leadership(state.configuration_replica)
        return await state.relay.whole()

    return {
        messages.ReadRevision: read_revision,
        messages.ReadFleet: read_fleet,
    }


def _build_claim_handlers(
    state: states.ControlState,
) -> dict[type, incoming.CallHandler]:
    async def propose_change(_: incoming.Responder, message: object) -> object:
        try:
            claims.check(message)
        except ValueError as error:
            raise transport_exceptions.RemoteError(
                "bad_request", str(error)
            ) from error
        return await states.propose(state.claims_replica, message)

    async def read(
        _: incoming.Responder, message: claim_messages.ReadClaim
    ) -> object:
        epoch = await states.draw_epoch(state)
        return attrs.evolve(state.claims.read(message), epoch=epoch)

    async def close_claim(
        responder: incoming.Responder, message: claim_messages.CloseClaim
    ) -> object:
        epoch = await states.draw_epoch(state)
        return await propose_change(
            responder, attrs.evolve(message, epoch=epoch)
        )

    return {
        claim_messages.Claim: propose_change,
        claim_messages.FinishClaim: propose_change,
        claim_messages.CloseClaim: close_claim,
        claim_messages.ReleaseClaim: propose_change,
        claim_messages.ReadClaim: read,
    }


def _build_fence_handlers(
    state: states.ControlState,
) -> dict[type, incoming.CallHandler]:
    async def take_fence(
        _: incoming.Responder, message: messages.TakeFence
    ) -> object:
        return await states.propose(state.configuration_replica, message)

    async def read(
        _: incoming.Responder, message: messages.ReadFence
    ) -> object:
        await states.confirm_leadership(state.configuration_replica)
        last_fence = state.configuration.fences.get(message.target)
        return messages.FenceNumber(last_fence.number if last_fence else 0)

    return {messages.TakeFence: take_fence, messages.ReadFence: read}


def _build_operator_handlers(
    state: states.ControlState,
) -> dict[type, incoming.CallHandler]:
    async def apply(
        responder: incoming.Responder, message: messages.ApplyChange
    ) -> object:
        try:
            delta.unpack(message.body)
        except ValueError as error:
            raise transport_exceptions.RemoteError(
                "bad_request", str(error)
            ) from error
        stamped = attrs.evolve(
            message,
            operator=responder.peer.name,
            at_ms=time.time_ns() // 1_000_000,
        )
        return await states.propose(state.configuration_replica, stamped)

    calls: dict[type, incoming.CallHandler] = {messages.ApplyChange: apply}
    calls.update(_build_operator_read_handlers(state))
    calls.update(member_handlers.build(state))
    return {
        cls: restrict_to_operators(handler) for cls, handler in calls.items()
    }


def _build_operator_read_handlers(
    state: states.ControlState,
) -> dict[type, incoming.CallHandler]:
    async def read_history(
        _: incoming.Responder, message: messages.ReadHistory
    ) -> object:
        await states.confirm_leadership(state.configuration_replica)
        count = min(message.count, MAX_HISTORY)
        records = tuple(state.configuration.records)
        return messages.History(records[len(records) - count :])

    async def read_in_force(
        _: incoming.Responder, message: feed_messages.ReadInForce
    ) -> object:
        return state.relay.in_force(message.revision)

    async def read_agents(
        _: incoming.Responder, __: feed_messages.ReadAgents
    ) -> object:
        names = tuple(sorted(state.relay.agent_names()))
        return feed_messages.AgentNames(names)

    async def read_dump(_: incoming.Responder, __: messages.ReadDump) -> object:
        return messages.Dump(member_handlers.dump(state))

    return {
        messages.ReadHistory: read_history,
        messages.ReadDump: read_dump,
        feed_messages.ReadInForce: read_in_force,
        feed_messages.ReadAgents: read_agents,
    }


def _build_notice_handlers(
    state: states.ControlState,
) -> collections.abc.Mapping[type, incoming.NoticeHandler]:
    def receive_envelope(
        peer: transport_messages.Hello,
        envelope: member_messages.GroupEnvelope,
    ) -> None:
        replica = state.replicas.get(envelope.group)
        if peer.role != CONTROL_ROLE or replica is None:
            return
        message = codec.decode(envelope.number, envelope.payload)
        if isinstance(message, consensus_messages.Message):
            replica.receive(envelope.sender, message)

    def accept_beacon(
        peer: transport_messages.Hello, beacon: feed_messages.Beacon
    ) -> None:
        if peer.role == CONTROL_ROLE:
            state.relay.accept_beacon(beacon.number, beacon.revision)

    return {
        member_messages.GroupEnvelope: receive_envelope,
        feed_messages.Beacon: accept_beacon,
        feed_messages.FeedReport: state.relay.accept_report,
    }
