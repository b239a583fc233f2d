"""Simulated disk of a replica."""

from __future__ import annotations

import attrs

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import membership
from cactusstile.consensus import messages


@attrs.define
class Disk:
    """State of a replica that survives a crash."""

    incarnation: int
    group: str = ""
    term: int = 0
    vote: str = ""
    snapshot: effects.InstallSnapshot | None = None
    entries: list[messages.Entry] = attrs.field(factory=list)

    def write(self, write: effects.Write) -> None:
        if isinstance(write, effects.SaveMetadata):
            self.group = write.group
            self.term = write.term
            self.vote = write.vote
        elif isinstance(write, effects.AppendEntries):
            first_index = write.entries[0].index
            self.entries = [
                entry for entry in self.entries if entry.index < first_index
            ]
            self.entries += write.entries
        else:
            self.snapshot = write
            self.entries = []

    def recover(self) -> core.RecoveredState:
        snapshot = self.snapshot
        if snapshot is None:
            return core.RecoveredState(self.group, self.term, self.vote)
        later = [
            entry for entry in self.entries if entry.index > snapshot.index
        ]
        return core.RecoveredState(
            group=self.group,
            term=self.term,
            vote=self.vote,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            configuration=membership.decode(snapshot.configuration),
            entries=tuple(later),
        )
