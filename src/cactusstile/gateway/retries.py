"""Decides whether a request may be sent to another target.

After a crash or a rejection, a request is retried elsewhere if it certainly did
not run, or if its route permits running it again, within the route's limit of
attempts.
"""

from __future__ import annotations

import attrs

from cactusstile import verdict
from cactusstile.gateway import exchange
from cactusstile.gateway.engines import backups
from cactusstile.sites import model
from cactusstile.transport import address

# Unreachable targets after which a request fails: more than fail together in
# one rack, and few enough to stay within the timeouts of callers.
MAX_UNREACHABLE = 6
# Addresses that belong to another target by now, after which a request fails.
MAX_MISDIRECTED = 4


@attrs.frozen
class StreamOrigin:
    """Where a stream began.

    Attributes:
      service: Name of the service.
      build: Build of the target that made the first event.
    """

    service: str
    build: str


def origin_at(target: model.Target) -> StreamOrigin:
    """Returns the origin of a stream that begins at a target."""
    return StreamOrigin(target.service, target.build)


@attrs.define
class Attempts:
    """Attempts of one request so far.

    Attributes:
      route: Route of the request.
      sent_count: Failed attempts that sent at least one byte.
      unreachable: Failed attempts that sent nothing.
      misdirected: Failed attempts that reached another target or other weights
        than expected.
      tried_incarnations: Incarnations of the targets that were tried.
      tried_addresses: Addresses that the request was sent to.
      is_return: Whether the current attempt goes to such an address.
      worst_verdict: Whether the request may have run.
      in_progress: Whether an attempt has started and not ended.
      answer: Last answer in which a target reports its own error.
      backup: Copy of the current or last run; None if it was not copied.
      resuming: Whether the next attempt resumes from that copy.
      origin: Where the stream began; only targets of its build may continue
        it. None before the first event.
      sole_build: Build that continues a stream of unknown origin; None if the
        origin is known, and for a new stream.
    """

    route: model.Route
    sent_count: int = 0
    unreachable: int = 0
    misdirected: int = 0
    tried_incarnations: set[tuple[str, int]] = attrs.field(factory=set)
    tried_addresses: set[address.Address] = attrs.field(factory=set)
    is_return: bool = False
    worst_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    in_progress: bool = False
    answer: exchange.Answer | None = None
    backup: backups.Backup | None = None
    resuming: bool = False
    origin: StreamOrigin | None = None
    sole_build: str | None = None

    def permits(self, target: model.Target) -> bool:
        """Returns whether the request may be sent to a target at all."""
        for target_id, born_ms in self.tried_incarnations:
            # The start of a target may be unknown at first.
            is_same = born_ms == target.born_ms or 0 in (
                born_ms,
                target.born_ms,
            )
            if target_id == target.id and is_same:
                return False
        required = self.sole_build
        if self.origin is not None:
            required = self.origin.build
        return required is None or required == target.build

    def record_start(self, target: model.Target) -> None:
        """Records that the request is being sent to a target."""
        self.tried_incarnations.add(target.incarnation)
        self.is_return = target.address in self.tried_addresses
        self.tried_addresses.add(target.address)
        self.in_progress = True

    def record_failure(self, error: exchange.AttemptError) -> None:
        """Records a failed attempt."""
        self.in_progress = False
        if error.is_withdrawn and not error.was_sent:
            return
        if error.is_misdirected:
            self.misdirected += 1
        elif error.was_sent:
            self.sent_count += 1
        else:
            self.unreachable += 1
        if error.verdict is not verdict.Verdict.NOT_RUN:
            self.worst_verdict = error.verdict
            self.answer = error.answer or self.answer

    def may_retry(self) -> bool:
        """Returns whether the route permits another attempt."""
        if self.unreachable >= MAX_UNREACHABLE:
            return False
        if self.misdirected >= MAX_MISDIRECTED:
            return False
        if self.sent_count >= self.route.max_attempts:
            return False
        if self.worst_verdict is verdict.Verdict.NOT_RUN:
            return True
        return self.route.may_repeat

    def final_verdict(self) -> verdict.Verdict:
        """Returns the verdict if the request were to end now."""
        if self.in_progress:
            return verdict.Verdict.MAY_HAVE_RUN
        return self.worst_verdict
