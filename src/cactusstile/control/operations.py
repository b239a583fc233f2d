"""What operators do: apply, compare, wait, and change members."""

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
class Operator:
    """An operator's connections.

    Attributes:
      control: Client of the leader.
      connections: Connections to each control VM.
    """

    control: client.ControlClient
    connections: pool.Pool


@attrs.frozen
class Coverage:
    """Where a revision is in force.

    Attributes:
      revision: The revision.
      nodes: Processes known to the control VMs that answered.
      agents: Agents among them.
      declared: Targets that the fleet declares, each with one agent.
      current: Processes that hold the revision or a later one.
      missing: Names of some that do not.
      unreachable: Control VMs that did not answer; what hangs on them is not
        counted.
      absent: Names of the declared targets without an agent that follows;
        known once the wait is over.
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
        """Whether every process that should hold the revision does."""
        everyone = self.current == self.nodes and self.agents >= self.declared
        return everyone and not self.unreachable


@attrs.frozen
class PartChange:
    """One part that differs between two fleets.

    Attributes:
      key: Kind and name, such as "target/ikeja-1".
      change: "added", "removed" or "changed".
      fields: Names of the fields that differ.
    """

    key: str
    change: str
    fields: tuple[str, ...] = ()


@attrs.frozen
class ControlView:
    """What one control VM says of the groups; no groups if unreachable."""

    address: str
    groups: tuple[member_messages.Members, ...] = ()


@contextlib.asynccontextmanager
async def open_operator(
    settings: operator.OperatorSettings,
) -> collections.abc.AsyncIterator[Operator]:
    """Opens an operator's connections until the context is left."""
    identity = handshake.Identity(handshake.OPERATOR_ROLE, settings.name)
    secrets = handshake.Secrets(b"", settings.secret)
    async with pool.open_pool(identity, secrets) as connections:
        control = client.ControlClient(connections, settings.control)
        yield Operator(control, connections)


async def apply_fleet(
    control: client.ControlClient,
    fleet: model.Fleet,
    *,
    timeout_s: float = client.CALL_TIMEOUT_S,
) -> messages.ApplyReply:
    """Asks for `fleet` until the answer is known.

    Raises:
      OutcomeUnknownError: No answer in time; applying the same file again is
        safe and tells the outcome.
      ControlUnavailableError: No leader answered; nothing was applied.
    """
    deadline_s = anyio.current_time() + timeout_s
    while True:
        left_s = deadline_s - anyio.current_time()
        base = await control.read_fleet(timeout_s=left_s)
        left_s = deadline_s - anyio.current_time()
        reply = await control.apply(base, fleet, timeout_s=left_s)
        if reply.outcome != messages.ApplyOutcome.MOVED.value:
            return reply


async def find_coverage(operator: Operator, fleet: model.Fleet) -> Coverage:
    """Asks every control VM where the revision of `fleet` is in force."""
    revision = fleet.revision
    found: list[feed_messages.InForce] = []
    unreachable: list[str] = []

    async def ask(target: address.Address) -> None:
        message = feed_messages.ReadInForce(revision)
        reply = await _ask_one(operator, target, message)
        if isinstance(reply, feed_messages.InForce):
            found.append(reply)
        else:
            unreachable.append(str(target))

    async with anyio.create_task_group() as group:
        for target in operator.control.addresses:
            group.start_soon(ask, target)
    return Coverage(
        revision,
        sum(reply.nodes for reply in found),
        sum(reply.agents for reply in found),
        len(fleet.targets),
        sum(reply.current for reply in found),
        tuple(sorted(name for reply in found for name in reply.missing)),
        tuple(sorted(unreachable)),
    )


async def wait_in_force(
    operator: Operator, fleet: model.Fleet, timeout_s: float
) -> Coverage:
    """Returns the coverage once it is complete, or when time is over."""
    deadline_s = anyio.current_time() + timeout_s
    while True:
        coverage = await find_coverage(operator, fleet)
        if coverage.is_complete:
            return coverage
        if anyio.current_time() >= deadline_s:
            absent = await _find_absent(operator, fleet)
            return attrs.evolve(coverage, absent=absent)
        await anyio.sleep(POLL_INTERVAL_S)


async def _find_absent(
    operator: Operator, fleet: model.Fleet
) -> tuple[str, ...]:
    """Returns the names of targets whose agents no control VM knows."""
    absent = set(fleet.targets)
    for target in operator.control.addresses:
        reply = await _ask_one(operator, target, feed_messages.ReadAgents())
        if isinstance(reply, feed_messages.AgentNames):
            absent.difference_update(reply.names)
    return tuple(sorted(absent))


async def view_members(operator: Operator) -> list[ControlView]:
    """Asks every control VM for its view of the groups."""
    views = []
    for target in operator.control.addresses:
        groups = []
        for group in control_settings.GROUPS:
            message = member_messages.ReadMembers(group)
            reply = await _ask_one(operator, target, message)
            if not isinstance(reply, member_messages.Members):
                break
            groups.append(reply)
        views.append(ControlView(str(target), tuple(groups)))
    return views


async def change_member(
    operator: Operator,
    action: str,
    name: str,
    timeout_s: float = MEMBER_TIMEOUT_S,
) -> None:
    """Changes both groups; a repair returns once both hold everything.

    A command that stopped between the groups goes on when it is given again:
    what is done already in one group is no error.

    Raises:
      ControlError: As of `client.ControlClient.call`; the same command may
        be given again to go on.
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
    operator: Operator, group: str, action: str, name: str, timeout_s: float
) -> None:
    """Changes one group."""
    control = client.ControlClient(
        operator.connections,
        operator.control.addresses,
        attempt_timeout_s=timeout_s,
    )
    control.leader = operator.control.leader
    message = member_messages.ChangeMember(group, action, name)
    await control.call(message, member_messages.MemberChanged, timeout_s)


async def _ask_one(
    operator: Operator, target: address.Address, message: object
) -> object | None:
    try:
        return await operator.connections.call(
            target, message, timeout_s=POLL_TIMEOUT_S
        )
    except (transport_exceptions.TransportError, TimeoutError):
        return None


def compare(old: model.Fleet, new: model.Fleet) -> list[PartChange]:
    """Returns the parts that differ, sorted by key; shows no values."""
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
