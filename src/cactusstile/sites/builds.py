"""Which builds of their software the targets of each service run.

A stream may go on only at a target of the build that began it. Where nobody
remembers its build, it may go on only if one build has been the only one for
longer than callers resume streams. That time has to outlive all gateways, and
a loss of power of all VMs: registries keep in their log which builds they
listed, and since when.

The functions do no I/O.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.sites import ages
from cactusstile.transport import codec

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model

_SCHEMA = codec.load_schema(__file__, "sites.capnp")

# Longer than callers resume a stream after it began.
SETTLED_AFTER_S = 30.0
# Longest difference between the clocks of two VMs, a step of one included.
MAX_CLOCK_ERROR_S = 5.0
# Time of a service that was never listed with other builds.
SINCE_EVER_MS = 0


@codec.register(0, _SCHEMA, "ServiceBuilds")
@attrs.frozen
class ServiceBuilds:
    """Builds that the targets of one service run.

    Attributes:
      service: Name of the service.
      builds: The builds, sorted.
      since_ms: Unix time from which exactly these were listed, in ms;
        `SINCE_EVER_MS` if no others were listed before.
    """

    service: str
    builds: tuple[str, ...]
    since_ms: int


@codec.register(0, _SCHEMA, "AgedBuilds")
@attrs.frozen
class AgedBuilds:
    """Builds of one service, with the time for which they have been listed.

    Attributes:
      service: Name of the service.
      builds: The builds, sorted.
      age_ms: Time for which exactly these have been listed, in ms.
    """

    service: str
    builds: tuple[str, ...]
    age_ms: int


@codec.register(519, _SCHEMA, "BuildsInForce")
@attrs.frozen
class BuildsInForce:
    """Item: builds of all services that were ever listed."""

    services: tuple[AgedBuilds, ...]


@codec.register(509, _SCHEMA, "RecordBuilds")
@attrs.frozen
class RecordBuilds:
    """Command of the leader: these services run other builds than before."""

    services: tuple[ServiceBuilds, ...]


@codec.register(534, _SCHEMA, "BuildsRecorded")
@attrs.frozen
class BuildsRecorded:
    """Result of `RecordBuilds`.

    Attributes:
      count: Number of services that the command changed.
    """

    count: int


def by_service(
    listed: collections.abc.Iterable[model.Target],
) -> dict[str, set[str]]:
    """Returns the builds of each service's targets."""
    found: dict[str, set[str]] = {}
    for target in listed:
        found.setdefault(target.service, set()).add(target.build)
    return found


def find_changes(
    known: collections.abc.Iterable[ServiceBuilds],
    listed: collections.abc.Iterable[model.Target],
    now_ms: int,
) -> tuple[ServiceBuilds, ...]:
    """Returns the services whose targets run other builds than known.

    A service without a listed target keeps the builds that it had.

    Args:
      known: Builds that were recorded before.
      listed: Targets of a list.
      now_ms: Unix time in ms.
    """
    recorded = {one.service: one.builds for one in known}
    changes = []
    for service, found in sorted(by_service(listed).items()):
        present = tuple(sorted(found))
        if recorded.get(service) == present:
            continue
        since_ms = now_ms if service in recorded else SINCE_EVER_MS
        changes.append(ServiceBuilds(service, present, since_ms))
    return tuple(changes)


def merge(
    known: collections.abc.Iterable[ServiceBuilds],
    changes: collections.abc.Iterable[ServiceBuilds],
) -> tuple[ServiceBuilds, ...]:
    """Returns the builds of all services after changes."""
    merged = {one.service: one for one in known}
    for change in changes:
        merged[change.service] = change
    return tuple(merged[service] for service in sorted(merged))


def in_force(
    known: collections.abc.Iterable[ServiceBuilds], now_ms: int
) -> BuildsInForce:
    """Returns the item that gateways receive.

    Ages are understated by the possible error of the clocks.

    >>> known = [ServiceBuilds("s", ("v1",), 10_000)]
    >>> in_force(known, 45_000).services[0].age_ms
    30000
    >>> in_force(known, 9_000).services[0].age_ms
    0
    """
    aged = []
    for one in known:
        age_s = float("inf")
        if one.since_ms != SINCE_EVER_MS:
            age_s = (now_ms - one.since_ms) / 1000 - MAX_CLOCK_ERROR_S
        aged.append(AgedBuilds(one.service, one.builds, ages.to_ms(age_s)))
    return BuildsInForce(tuple(aged))
