"""Operator actions: apply and compare fleets, read views, change members."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile.control import attempts
from cactusstile.control import client
from cactusstile.control import exceptions
from cactusstile.control import feed_messages
from cactusstile.control import member_messages
from cactusstile.control import messages
from cactusstile.control import settings as control_settings
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import operator
    from cactusstile.transport import address

POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 1.0
MEMBER_TIMEOUT_S = 60.0


@attrs.frozen
class OperatorSession:
    """Open connections of an operator to the control VMs.

    Attributes:
      control: Client that calls the leader.
      connections: Connections to the single control VMs.
    """

    control: client.ControlClient
    connections: pool.Pool


@attrs.frozen
class Coverage:
    """Processes on which a revision is in force.

    Attributes:
      revision: The revision.
      nodes: Processes below the control VMs that answered, in the delivery
        tree, including these control VMs.
      agents: Agents among `nodes`.
      declared: Targets that the fleet declares, each with one agent.
      current: Processes that hold the revision or a later one.
      missing: Names of some processes that do not hold it.
      unreachable: Control VMs that did not answer; the processes below them
        are not counted.
      absent: Names of the declared targets whose agents are in no delivery
        tree; determined only when a wait has timed out.
    """

    revision: int
    nodes: int = 0
    agents: int = 0
    declared: int = 0
    current: int = 0
    missing: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether all processes that should hold the revision hold it."""
        is_everywhere = (
            self.current == self.nodes and self.agents >= self.declared
        )
        return is_everywhere and not self.unreachable


@attrs.frozen
class PartChange:
    """A part that differs between two fleets.

    Attributes:
      key: Kind and name of the part, such as "target/ikeja-1".
      change: "added", "removed" or "changed".
      fields: Names of the fields that differ.
    """

    key: str
    change: str
    fields: tuple[str, ...] = ()


@attrs.frozen
class ControlView:
    """View of the groups from one control VM; empty if it is unreachable."""

    address: str
    groups: tuple[member_messages.Members, ...] = ()


@contextlib.asynccontextmanager
async def open_session(
    settings: operator.OperatorSettings,
) -> collections.abc.AsyncIterator[OperatorSession]:
    """Opens an operator's connections; leaving the context closes them."""
    identity = handshake.Identity(handshake.OPERATOR_ROLE, settings.name)
    secrets = handshake.Secrets(b"", settings.secret)
    async with pool.open_pool(identity, secrets) as connections:
        control = client.ControlClient(connections, settings.control)
        yield OperatorSession(control, connections)


async def apply_fleet(
    control: client.ControlClient,
    fleet: model.Fleet,
    *,
    timeout_s: float = client.CALL_TIMEOUT_S,
) -> messages.ApplyReply:
    """Applies `fleet`; retries if another change is accepted meanwhile.

    Raises:
      OutcomeUnknownError: No answer in time; applying the same file again is
        safe and returns the outcome.
      ControlUnavailableError: No leader answered; nothing was applied.
    """
    deadline_s = anyio.current_time() + timeout_s
    while True:
        remaining_s = deadline_s - anyio.current_time()
        base = await control.read_fleet(timeout_s=remaining_s)
        remaining_s = deadline_s - anyio.current_time()
        reply = await control.apply(base, fleet, timeout_s=remaining_s)
        if reply.outcome != messages.ApplyOutcome.MOVED.value:
            return reply


async def read_coverage(
    operator: OperatorSession, fleet: model.Fleet
) -> Coverage:
    """Reads from all control VMs where the revision of `fleet` is in force."""
    revision = fleet.revision
    replies: list[feed_messages.InForce] = []
    unreachable: list[str] = []

    async def read_in_force(control_address: address.Address) -> None:
        message = feed_messages.ReadInForce(revision)
        reply = await _call_control_vm(operator, control_address, message)
        if isinstance(reply, feed_messages.InForce):
            replies.append(reply)
        else:
            unreachable.append(str(control_address))

    async with anyio.create_task_group() as group:
        for control_address in operator.control.addresses:
            group.start_soon(read_in_force, control_address)
    return Coverage(
        revision,
        sum(reply.nodes for reply in replies),
        sum(reply.agents for reply in replies),
        len(fleet.targets),
        sum(reply.current for reply in replies),
        tuple(sorted(name for reply in replies for name in reply.missing)),
        tuple(sorted(unreachable)),
    )


async def wait_in_force(
    operator: OperatorSession, fleet: model.Fleet, timeout_s: float
) -> Coverage:
    """Returns the coverage once it is complete, or after `timeout_s`."""
    deadline_s = anyio.current_time() + timeout_s
    while True:
        coverage = await read_coverage(operator, fleet)
        if coverage.is_complete:
            return coverage
        if anyio.current_time() >= deadline_s:
            absent = await _find_absent_targets(operator, fleet)
            return attrs.evolve(coverage, absent=absent)
        await anyio.sleep(POLL_INTERVAL_S)


async def _find_absent_targets(
    operator: OperatorSession, fleet: model.Fleet
) -> tuple[str, ...]:
    """Returns the targets whose agents are below no control VM, sorted."""
    absent = set(fleet.targets)
    for control_address in operator.control.addresses:
        reply = await _call_control_vm(
            operator, control_address, feed_messages.ReadAgents()
        )
        if isinstance(reply, feed_messages.AgentNames):
            absent.difference_update(reply.names)
    return tuple(sorted(absent))


async def read_control_views(operator: OperatorSession) -> list[ControlView]:
    """Reads the view of the groups from each control VM."""
    views = []
    for control_address in operator.control.addresses:
        groups = []
        for group in control_settings.GROUPS:
            message = member_messages.ReadMembers(group)
            reply = await _call_control_vm(operator, control_address, message)
            if not isinstance(reply, member_messages.Members):
                break
            groups.append(reply)
        views.append(ControlView(str(control_address), tuple(groups)))
    return views


async def change_member(
    operator: OperatorSession,
    action: str,
    name: str,
    timeout_s: float = MEMBER_TIMEOUT_S,
) -> None:
    """Changes a member in both groups, one after the other.

    A repair returns once the replica holds the complete state of both groups.
    If a command fails between the groups, repeating it completes the change:
    a change that is already done in one group is not an error.

    Raises:
      ControlError: See `client.ControlClient.call`; the same command may be
        repeated.
    """
    await operator.control.read_revision()
    missing = []
    for group in control_settings.GROUPS:
        try:
            await _change_group(operator, group, action, name, timeout_s)
        except exceptions.CallRefusedError as error:
            text = f"group {group}: {error}"
            refusal = exceptions.CallRefusedError(error.code, text)
            if action != "remove" or error.code != attempts.NOT_MEMBER:
                raise refusal from error
            missing.append(refusal)
    if len(missing) == len(control_settings.GROUPS):
        raise missing[0]


async def _change_group(
    operator: OperatorSession,
    group: str,
    action: str,
    name: str,
    timeout_s: float,
) -> None:
    """Changes a member in one group."""
    control = client.ControlClient(
        operator.connections,
        operator.control.addresses,
        attempt_timeout_s=timeout_s,
    )
    control.leader = operator.control.leader
    message = member_messages.ChangeMember(group, action, name)
    await control.call(message, member_messages.MemberChanged, timeout_s)


async def _call_control_vm(
    operator: OperatorSession, control_address: address.Address, message: object
) -> object | None:
    try:
        return await operator.connections.call(
            control_address, message, timeout_s=POLL_TIMEOUT_S
        )
    except (transport_exceptions.TransportError, TimeoutError):
        return None


def compare_fleets(old: model.Fleet, new: model.Fleet) -> list[PartChange]:
    """Returns the parts that differ, sorted by key and without values."""
    change = delta.diff(old, new)
    before = encoding.encode(old)
    changes = [PartChange(key, "removed") for key in change.removed]
    for key, value in change.changed.items():
        if key not in before:
            changes.append(PartChange(key, "added"))
            continue
        fields = encoding.differing_fields(before[key], value)
        changes.append(PartChange(key, "changed", fields))
    return sorted(changes, key=lambda entry: entry.key)
