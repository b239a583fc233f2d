"""What callers, targets and operators saw during one run of the soak."""

from __future__ import annotations

import typing

import attrs

REPEATABLE_PATHS = ("/read/", "/moved/", "/talk/")
STREAM_PATHS = ("/talk/", "/draft/")


@attrs.define
class Call:
    """One request of a caller.

    Attributes:
      id: Its id.
      gateway: Process that it was sent to.
      path: Path of its route.
      workspace: Workspace that its key belongs to.
      key: Key that it carried.
      sent_s: Time at which its last byte was sent.
      tokens_out: Events that its stream has.
      ended_s: Time at which its answer or connection ended; None if neither.
      gave_up_s: Time at which its caller closed the connection.
      status: Status of its answer; 0 for none.
      identity: Id that the answer carried.
      seal: Seal of the answer; empty for none.
      body: Body of the answer.
      whole: Whether the answer ended as a complete one.
      failure: What the caller saw instead of an answer.
    """

    id: str
    gateway: str
    path: str
    workspace: str
    key: str
    sent_s: float
    tokens_out: int = 0
    ended_s: float | None = None
    gave_up_s: float | None = None
    status: int = 0
    identity: str = ""
    seal: str = ""
    body: bytes = b""
    whole: bool = False
    failure: str = ""

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.path in REPEATABLE_PATHS


@attrs.define
class Arrival:
    """A request that reached a target.

    Attributes:
      request_id: Id that it carried.
      target: Id of the target.
      service: Service of the target.
      at_s: Time at which it was read.
      ran: Whether the target began to work on it.
      ended_s: Time at which the work ended; None while it goes on.
      broke_off: Whether the target itself failed it.
      workspace: Workspace that it was sent for.
      path: Path and query.
      body: Body.
      key: Key that it carried, which must be none.
      last_event: Last event that its caller has.
      weights: Version of the weights that it ran on.
      reused: Version and workspace of those who made the cached parts.
    """

    request_id: str
    target: str
    service: str
    at_s: float
    ran: bool = False
    ended_s: float | None = None
    broke_off: bool = False
    workspace: str = ""
    path: str = ""
    body: bytes = b""
    key: str = ""
    last_event: int = 0
    weights: int = 0
    reused: tuple[tuple[int, str], ...] = ()


@attrs.define
class Change:
    """A configuration that an operator sent.

    Attributes:
      version: Its version.
      document: Its content.
      sent_s: Time at which it was first sent.
      acknowledged_s: Time of its acknowledgement; None without one.
      refused: Status of a refusal; 0 without one.
    """

    version: int
    document: dict[str, typing.Any]
    sent_s: float
    acknowledged_s: float | None = None
    refused: int = 0


@attrs.frozen
class Read:
    """A configuration that a registry gave out.

    Attributes:
      registry: Process that answered.
      sent_s: Time at which the read was sent.
      document: Content of the answer.
    """

    registry: str
    sent_s: float
    document: dict[str, typing.Any]


@attrs.frozen
class Naming:
    """Weights that an operator named.

    Attributes:
      version: Their version.
      acknowledged_s: Time of the acknowledgement.
    """

    version: int
    acknowledged_s: float


@attrs.frozen
class Order:
    """An order that reached an engine.

    Attributes:
      target: Id of the engine.
      holder: Process that ordered.
      fence: Its fence.
      at_s: Time of its arrival.
      accepted: Whether the engine took it on.
    """

    target: str
    holder: str
    fence: int
    at_s: float
    accepted: bool


@attrs.define
class Disturbance:
    """A fault that was injected.

    Attributes:
      kind: What was done.
      subject: Process or target that it was done to.
      from_s: Time of its begin.
      to_s: Time of its end; None while it goes on.
      planned: Whether it is planned work, which costs callers nothing.
    """

    kind: str
    subject: str
    from_s: float
    to_s: float | None = None
    planned: bool = False


@attrs.frozen
class ProcessEnd:
    """A process that ended.

    Attributes:
      name: Its name.
      code: Its exit code.
      at_s: Time of its end.
      expected: Whether the soak ended it.
      took_s: Time from the signal to the end.
    """

    name: str
    code: int
    at_s: float
    expected: bool
    took_s: float = 0.0


@attrs.define
class History:
    """All that was seen in one run.

    Attributes:
      calls: Requests of callers by id.
      arrivals: Requests that reached targets, in order.
      changes: Configurations that operators sent.
      reads: Configurations that registries gave out.
      namings: Weights that were named and acknowledged.
      orders: Orders that reached engines.
      disturbances: Faults that were injected.
      ends: Ends of processes.
      invalid_accepted: Invalid configurations that were acknowledged.
      healed_s: Time at which the last fault ended.
      recovered_s: Time at which callers were served again; None if never.
      weights_at_end: Versions that the engines held last, by id.
      lines: Log lines by process.
      errors: Standard error by process.
    """

    calls: dict[str, Call] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)
    reads: list[Read] = attrs.field(factory=list)
    namings: list[Naming] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    invalid_accepted: list[str] = attrs.field(factory=list)
    healed_s: float = 0.0
    recovered_s: float | None = None
    weights_at_end: dict[str, int] = attrs.field(factory=dict)
    lines: dict[str, list[str]] = attrs.field(factory=dict)
    errors: dict[str, str] = attrs.field(factory=dict)

    def is_calm(
        self, from_s: float, to_s: float, *, with_planned: bool = False
    ) -> bool:
        """Returns whether no fault went on between two times.

        Args:
          from_s: Begin of the time.
          to_s: End of the time.
          with_planned: Whether planned work counts as a fault too.
        """
        for one in self.disturbances:
            if one.planned and not with_planned:
                continue
            end_s = float("inf") if one.to_s is None else one.to_s
            if one.from_s <= to_s and end_s >= from_s:
                return False
        return True
