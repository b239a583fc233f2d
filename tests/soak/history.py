"""Records of what callers, targets and operators saw in one soak run."""

from __future__ import annotations

import collections
import collections.abc
import typing

import attrs

REPEATABLE_PATHS = ("/read/", "/moved/", "/talk/")
STREAM_PATHS = ("/talk/", "/draft/", "/long/")
WRITE_PATH = "/write/"
# Streams that run so long that engines copy them.
LONG_PATH = "/long/"
# Contents of requests that callers repeat: one ends each target that runs it.
ENDS_TARGETS = "ends-targets"
HOT = "hot"
ENDED_BY_REQUEST = "ended_by_request"


@attrs.define
class Call:
    """One request of a caller.

    Attributes:
      id: Id of the request.
      gateway: Gateway that it was sent to.
      path: Path of its route.
      workspace: Workspace that its key belongs to.
      key: Key that it carried.
      sent_s: Time just before it was sent.
      tokens_out: Number of events in its stream.
      ended_s: Time at which its answer or connection ended; None if neither.
      abandoned_s: Time at which its caller closed the connection; None if the
        caller did not.
      status: Status of its answer; 0 for none.
      identity: Request id in the answer.
      seal: Seal of the answer; empty for none.
      body: Body of the answer.
      whole: Whether the answer is complete.
      failure: Error that the caller saw; empty for none.
      shared_content: Content that it shares with other requests; empty if it
        shares none.
    """

    id: str
    gateway: str
    path: str
    workspace: str
    key: str
    sent_s: float
    tokens_out: int = 0
    ended_s: float | None = None
    abandoned_s: float | None = None
    status: int = 0
    identity: str = ""
    seal: str = ""
    body: bytes = b""
    whole: bool = False
    failure: str = ""
    shared_content: str = ""

    @property
    def content(self) -> str:
        """Name of what its path and body hold."""
        return self.shared_content or self.id

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.path in REPEATABLE_PATHS


@attrs.define
class Arrival:
    """A request that reached a target.

    Attributes:
      request_id: Id that it carried.
      target: Id of the target.
      service: Service of the target.
      at_s: Time at which it was read.
      ran: Whether the target started to run it.
      began_s: Time at which the run began; 0 if it did not.
      ended_s: Time at which the run ended; None while it runs.
      data_centre: Data centre of the target.
      failed_by_target: Whether the target itself made it fail.
      workspace: Workspace that it was sent for.
      path: Path and query.
      body: Body.
      key: Key that it carried; must be empty.
      last_event: Last event that its caller has received.
      from_copy: Whether it goes on from the copy of another run.
      weights: Version of the weights that it ran on.
      reused: For each cached part that it used, the version of the weights
        and the workspace that the part was computed for.
    """

    request_id: str
    target: str
    service: str
    at_s: float
    ran: bool = False
    began_s: float = 0.0
    ended_s: float | None = None
    failed_by_target: bool = False
    data_centre: str = ""
    workspace: str = ""
    path: str = ""
    body: bytes = b""
    key: str = ""
    last_event: int = 0
    from_copy: bool = False
    weights: int = 0
    reused: tuple[tuple[int, str], ...] = ()


@attrs.define
class Change:
    """A configuration that an operator sent.

    Attributes:
      version: Version of the configuration.
      document: Content of the configuration.
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
    """A configuration that a registry returned.

    Attributes:
      registry: Process that answered.
      sent_s: Time at which the read was sent.
      document: Content of the answer.
    """

    registry: str
    sent_s: float
    document: dict[str, typing.Any]


@attrs.frozen
class WeightsNaming:
    """Weights that an operator named as the newest.

    Attributes:
      version: Version of the weights.
      acknowledged_s: Time of the acknowledgement.
    """

    version: int
    acknowledged_s: float


@attrs.frozen
class Order:
    """An order that reached an engine.

    Attributes:
      target: Id of the engine.
      holder: Process that sent the order.
      fence: Fencing number of the order.
      at_s: Time of its arrival.
      accepted: Whether the engine accepted it.
    """

    target: str
    holder: str
    fence: int
    at_s: float
    accepted: bool


@attrs.define
class NamedLimit:
    """A limit that a target named in its answers.

    Attributes:
      target: Id of the target.
      per_s: Requests per second that it takes from all gateways.
      from_s: Time from which it named the limit.
      to_s: Time until which it did; infinite while it does.
    """

    target: str
    per_s: float
    from_s: float
    to_s: float = float("inf")


@attrs.define
class Evacuation:
    """An evacuation that was acknowledged.

    Attributes:
      data_centre: The evacuated data centre.
      acknowledged_s: Time of the acknowledgement.
      ended_s: Time at which its end was first sent; infinite until then.
    """

    data_centre: str
    acknowledged_s: float
    ended_s: float = float("inf")


@attrs.define
class InjectedFault:
    """A fault that was injected.

    Attributes:
      kind: Kind of the fault.
      subject: Affected process; empty for faults of targets or the site.
      from_s: Time of its start.
      to_s: Time of its end; None while it lasts.
      planned: Whether it is a planned operation, which callers must not
        notice.
    """

    kind: str
    subject: str
    from_s: float
    to_s: float | None = None
    planned: bool = False


@attrs.frozen
class ProcessEnd:
    """A process that exited.

    Attributes:
      name: Name of the process.
      code: Exit code.
      at_s: Time of the exit.
      expected: Whether the soak caused the exit.
      took_s: Time from the signal to the exit; 0 without a signal.
      signal: Signal that should end it; 0 without one.
    """

    name: str
    code: int
    at_s: float
    expected: bool
    took_s: float = 0.0
    signal: int = 0


@attrs.define
class History:
    """All records of one run.

    Attributes:
      calls: Requests of callers by id.
      arrivals: Requests that reached targets, in order once `sort` was called.
      changes: Configurations that operators sent.
      reads: Configurations that registries returned.
      namings: Weights that were named and acknowledged.
      orders: Orders that reached engines, in order likewise.
      limits: Limits that targets named.
      evacuations: Evacuations that were acknowledged.
      injected_faults: Faults that were injected.
      ends: Exits of processes.
      invalid_accepted: Invalid configurations that were acknowledged.
      faults_ended_s: Time at which the last fault ended.
      recovered_s: Time at which callers were served again; None if never.
      lines: Log lines by process.
      errors: Standard error by process.
      ended_by_request_s: Times at which a target ended under a request.
    """

    calls: dict[str, Call] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)
    reads: list[Read] = attrs.field(factory=list)
    namings: list[WeightsNaming] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    limits: list[NamedLimit] = attrs.field(factory=list)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    injected_faults: list[InjectedFault] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    invalid_accepted: list[str] = attrs.field(factory=list)
    faults_ended_s: float = 0.0
    recovered_s: float | None = None
    lines: dict[str, list[str]] = attrs.field(factory=dict)
    errors: dict[str, str] = attrs.field(factory=dict)
    ended_by_request_s: list[float] = attrs.field(factory=list)

    def runs_by_request(self) -> dict[str, list[Arrival]]:
        """Returns the arrivals that ran, by request id and in order."""
        runs: dict[str, list[Arrival]] = collections.defaultdict(list)
        for arrival in self.arrivals:
            if arrival.ran:
                runs[arrival.request_id].append(arrival)
        return runs

    def sort(self) -> None:
        """Orders what targets recorded, each in a journal of its own."""
        self.arrivals.sort(key=lambda arrival: arrival.at_s)
        self.orders.sort(key=lambda order: order.at_s)
        self.ended_by_request_s.sort()

    def is_fault_free(
        self,
        from_s: float,
        to_s: float,
        *,
        with_planned: bool = False,
        but_for: str = "",
        excuses: collections.abc.Callable[[InjectedFault], bool] | None = None,
    ) -> bool:
        """Returns whether no fault was active between two times.

        Args:
          from_s: Start of the interval.
          to_s: End of the interval.
          with_planned: Whether planned operations count as faults.
          but_for: Kind of fault that does not count.
          excuses: Returns whether a fault counts; None if all do.
        """
        for fault in self.injected_faults:
            if fault.planned and not with_planned:
                continue
            if fault.kind == but_for:
                continue
            if excuses is not None and not excuses(fault):
                continue
            end_s = float("inf") if fault.to_s is None else fault.to_s
            if fault.from_s <= to_s and end_s >= from_s:
                return False
        return True
