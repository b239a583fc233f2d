"""Which builds of their software the targets of each service run."""

from __future__ import annotations

import attrs

from cactusstile.sites import model

# Longer than callers resume a stream after it began.
SETTLED_AFTER_S = 30.0


@attrs.frozen
class _Builds:
    """Builds of one service's targets.

    Attributes:
      builds: The builds of the listed targets.
      since_s: Loop time from which exactly these were listed.
    """

    builds: frozenset[str]
    since_s: float


@attrs.define
class BuildHistory:
    """Builds of each service as last listed.

    >>> history = BuildHistory()
    >>> history.record("s", {"v1"}, 10.0)
    >>> history.sole_build("s", 11.0)
    'v1'
    >>> history.record("s", {"v1", "v2"}, 12.0)
    >>> history.record("s", {"v2"}, 13.0)
    >>> history.sole_build("s", 14.0), history.sole_build("s", 43.0)
    (None, 'v2')

    Attributes:
      services: Builds by service.
    """

    services: dict[str, _Builds] = attrs.field(factory=dict)

    def update(self, listed: tuple[model.Target, ...], now_s: float) -> None:
        """Applies a list of targets."""
        by_service: dict[str, set[str]] = {}
        for target in listed:
            by_service.setdefault(target.service, set()).add(target.build)
        for service, builds in by_service.items():
            self.record(service, builds, now_s)

    def record(self, service: str, builds: set[str], now_s: float) -> None:
        """Records the builds of a service's targets.

        The first ones that this process learns of may have been listed for
        long.
        """
        known = self.services.get(service)
        if known is None:
            self.services[service] = _Builds(frozenset(builds), float("-inf"))
        elif known.builds != builds:
            self.services[service] = _Builds(frozenset(builds), now_s)

    def sole_build(self, service: str, now_s: float) -> str | None:
        """Returns the build of all streams that callers may still resume.

        None if targets of several builds serve or served lately.
        """
        known = self.services.get(service)
        if known is None or len(known.builds) != 1:
            return None
        if now_s - known.since_s < SETTLED_AFTER_S:
            return None
        return next(iter(known.builds))
