"""Decides whether a request may be sent to another target.

Answers crashes and rejections: what surely did not run, and what may run
again, goes elsewhere within the bounds of its route.
"""

from __future__ import annotations

import attrs

from cactusstile import verdict
from cactusstile.gateway import backups
from cactusstile.gateway import exchange
from cactusstile.sites import model

# Targets that refuse the connection, after which the request is given up: more
# than fail together in one rack, and within a caller's patience.
MAX_UNREACHABLE = 6
# Addresses that belong to others now, after which it is given up.
MAX_MISDIRECTED = 4


@attrs.define
class Attempts:
    """Attempts of one request so far.

    Attributes:
      route: Its route.
      arrived: Attempts of which a byte left.
      unreachable: Attempts of which none did.
      misdirected: Attempts that met another target than the one meant.
      tried: Incarnations of the targets that were tried.
      worst_verdict: Whether the request may have run.
      under_way: Whether an attempt has not ended.
      answer: Last answer in which a target reports its own error.
      backup: Copy of the run that is or was under way.
      resuming: Whether the next attempt goes on from that copy.
    """

    route: model.Route
    arrived: int = 0
    unreachable: int = 0
    misdirected: int = 0
    tried: set[tuple[str, int]] = attrs.field(factory=set)
    worst_verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    under_way: bool = False
    answer: exchange.Answer | None = None
    backup: backups.Backup | None = None
    resuming: bool = False

    def begin(self, target: model.Target) -> None:
        """Notes that the request is sent to a target."""
        self.tried.add(target.incarnation)
        self.under_way = True

    def fail(self, error: exchange.AttemptError) -> None:
        """Notes how the attempt failed."""
        self.under_way = False
        if error.is_misdirected:
            self.misdirected += 1
        elif error.arrived:
            self.arrived += 1
        else:
            self.unreachable += 1
        if error.verdict is not verdict.Verdict.NOT_RUN:
            self.worst_verdict = error.verdict
            self.answer = error.answer or self.answer

    def may_go_on(self) -> bool:
        """Returns whether the route permits another attempt."""
        if self.unreachable >= MAX_UNREACHABLE:
            return False
        if self.misdirected >= MAX_MISDIRECTED:
            return False
        if self.arrived >= self.route.max_attempts:
            return False
        if self.worst_verdict is verdict.Verdict.NOT_RUN:
            return True
        return self.route.may_repeat

    def final_verdict(self) -> verdict.Verdict:
        """Returns whether the request may have run, if it ends now."""
        if self.under_way:
            return verdict.Verdict.MAY_HAVE_RUN
        return self.worst_verdict
