"""Holds that the registries keep, as this gateway sees them, and trials.

A hold outlives all gateways. It ends by an answer to a request with its keys,
by an operator, or by time. So that a wrong one does not last, gateways may send
single requests all the same: the leader of the registries permits one trial at
a time, ever more seldom.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.sites import ages
from cactusstile.sites import hold_messages
from cactusstile.sites import hold_trials

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.gateway.quarantine import request_keys

# Time for which a permitted trial may be used.
TRIAL_PERMIT_S = 30.0


@attrs.define
class Holds:
    """Holds in force, and the trial of this gateway.

    Attributes:
      in_force: Holds by id.
      trial_due_s: Loop time of the next trial, by hold.
      refused: Holds under which a request was refused since the last call of
        `take_refused`.
      permitted_until_s: Loop time until which a trial is permitted, by hold.
      trial: Keys of the request that is the trial; None without one.
    """

    in_force: dict[str, hold_messages.Hold] = attrs.field(factory=dict)
    trial_due_s: dict[str, float] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    permitted_until_s: dict[str, float] = attrs.field(factory=dict)
    trial: request_keys.RequestKeys | None = None

    def apply(
        self, item: hold_messages.HoldsInForce, now_s: float
    ) -> list[tuple[hold_messages.Hold, float]]:
        """Replaces the holds; returns those released, with the loop time."""
        self.in_force = {one.hold.id: one.hold for one in item.holds}
        self.trial_due_s = {}
        for one in item.holds:
            wait_s = hold_trials.trial_wait_s(one.hold)
            due_s = now_s - ages.to_s(one.age_ms) + wait_s
            self.trial_due_s[one.hold.id] = due_s
        return [
            (one.hold, now_s - ages.to_s(one.age_ms)) for one in item.released
        ]

    def find(self, keys: request_keys.RequestKeys) -> list[hold_messages.Hold]:
        """Returns the holds of a request."""
        return [
            hold
            for hold in self.in_force.values()
            if keys.all.issuperset(hold.keys)
        ]

    def covers(self, keys: collections.abc.Set[str]) -> bool:
        """Returns whether a hold in force includes all requests with keys."""
        return any(keys >= set(hold.keys) for hold in self.in_force.values())

    def begin_trial(self, keys: request_keys.RequestKeys, now_s: float) -> bool:
        """Returns whether a held request is sent as a trial.

        If not, the holds are noted, so that a permit is asked for.
        """
        holds = self.find(keys)
        self.refused.update(hold.id for hold in holds)
        permitted = [
            hold.id
            for hold in holds
            if self.permitted_until_s.get(hold.id, 0.0) > now_s
        ]
        if not holds or len(permitted) < len(holds):
            return False
        for hold_id in permitted:
            del self.permitted_until_s[hold_id]
        self.trial = keys
        return True

    def is_trial(self, keys: request_keys.RequestKeys) -> bool:
        """Returns whether a request is the trial."""
        return self.trial is keys

    def end_trial(self, keys: request_keys.RequestKeys) -> None:
        """Ends the trial when its request is sent: it is sent once."""
        if self.trial is keys:
            self.trial = None

    def permit_trial(self, hold_id: str, now_s: float) -> None:
        """Permits the next request with the keys of a hold."""
        self.permitted_until_s[hold_id] = now_s + TRIAL_PERMIT_S

    def take_refused(self, now_s: float) -> list[hold_messages.Hold]:
        """Returns the holds of refused requests whose next trial is due."""
        found = []
        for hold_id in sorted(self.refused):
            due_s = self.trial_due_s.get(hold_id, float("inf"))
            permitted_s = self.permitted_until_s.get(hold_id, 0.0)
            if max(due_s, permitted_s) <= now_s:
                found.append(self.in_force[hold_id])
        self.refused.clear()
        return found
