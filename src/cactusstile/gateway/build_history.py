"""Decides which build continues a stream whose origin nobody remembers.

Two sources must agree: the list of targets as this process saw it, and the
registries' log, which also knows what was listed before this process started.
"""

from __future__ import annotations

import attrs

from cactusstile.sites import ages
from cactusstile.sites import builds
from cactusstile.sites import model

# Time without word from control after which other builds may have come. It is
# shorter than a new target takes to be listed and to begin a stream.
MAX_SILENCE_S = 1.5


@attrs.frozen
class _Builds:
    """Builds of one service's targets.

    Attributes:
      builds: The builds.
      since_s: Loop time from which exactly these were listed.
    """

    builds: frozenset[str]
    since_s: float


@attrs.define
class BuildHistory:
    """Builds of each service, by the list of targets and by control.

    >>> listed, told = {"v1"}, builds.AgedBuilds("s", ("v1",), 60_000)
    >>> history = BuildHistory()
    >>> history.record("s", listed, 10.0)
    >>> history.sole_build("s", 11.0, 11.0) is None
    True
    >>> history.apply(builds.BuildsInForce((told,)), 12.0)
    >>> history.confirm(12.0)
    >>> history.sole_build("s", 13.0, 13.0)
    'v1'
    >>> history.sole_build("s", 13.0, 20.0) is None
    True

    Attributes:
      services: Builds by service, as last listed.
      recorded: Builds by service, as control recorded them.
      confirmed_s: Boot time at which control last confirmed that this process
        knows the newest state; it advances while the VM is suspended.
    """

    services: dict[str, _Builds] = attrs.field(factory=dict)
    recorded: dict[str, _Builds] = attrs.field(factory=dict)
    confirmed_s: float = float("-inf")

    def update(self, listed: tuple[model.Target, ...], now_s: float) -> None:
        """Applies a list of targets."""
        for service, found in builds.by_service(listed).items():
            self.record(service, found, now_s)

    def record(self, service: str, found: set[str], now_s: float) -> None:
        """Records the builds of a service's targets.

        The first ones that this process learns of may have been listed for
        long; control knows.
        """
        known = self.services.get(service)
        if known is None:
            self.services[service] = _Builds(frozenset(found), float("-inf"))
        elif known.builds != found:
            self.services[service] = _Builds(frozenset(found), now_s)

    def apply(self, told: builds.BuildsInForce, now_s: float) -> None:
        """Replaces what control recorded."""
        self.recorded = {
            one.service: _Builds(
                frozenset(one.builds), now_s - ages.to_s(one.age_ms)
            )
            for one in told.services
        }

    def confirm(self, boot_s: float) -> None:
        """Records that control confirmed the state at a boot time."""
        self.confirmed_s = boot_s

    def sole_build(
        self, service: str, now_s: float, boot_s: float
    ) -> str | None:
        """Returns the build of all streams that callers may still resume.

        Args:
          service: Name of the service.
          now_s: Loop time.
          boot_s: Boot time, time in suspension included.

        Returns:
          None if targets of several builds serve or served lately, or if this
          process cannot know it.
        """
        if boot_s - self.confirmed_s > MAX_SILENCE_S:
            return None
        found: frozenset[str] = frozenset()
        for source in (self.services, self.recorded):
            known = source.get(service)
            if known is None or len(known.builds) != 1:
                return None
            if now_s - known.since_s < builds.SETTLED_AFTER_S:
                return None
            if found and known.builds != found:
                return None
            found = known.builds
        return next(iter(found))
