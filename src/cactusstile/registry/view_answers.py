"""Answers gateways whether what they were sent is the newest state."""

from __future__ import annotations

import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import view_messages
    from cactusstile.transport import messages as transport_messages


@attrs.define
class ViewAnswers:
    """Questions of the gateways that watch, and what a quorum has answered.

    Attributes:
      asked: Newest question of each gateway, by name.
      urgent: Gateways with requests that wait for the answer.
      answered: Newest question of each gateway that the last confirmation by a
        quorum came after.
      is_urgent: Set while there are urgent questions.
    """

    asked: dict[str, int] = attrs.field(factory=dict)
    urgent: set[str] = attrs.field(factory=set)
    answered: dict[str, int] = attrs.field(factory=dict)
    is_urgent: anyio.Event = attrs.field(factory=anyio.Event)

    def open(self, name: str, question: int) -> None:
        """Begins to answer a gateway; its first question is answered."""
        self.asked[name] = question
        self.answered[name] = question

    def close(self, name: str) -> None:
        """Forgets a gateway that no longer watches."""
        self.asked.pop(name, None)
        self.answered.pop(name, None)
        self.urgent.discard(name)

    def receive(
        self,
        peer: transport_messages.Hello,
        question: view_messages.ViewQuestion,
    ) -> None:
        """Records a question; those of gateways that do not watch are void."""
        if peer.name not in self.asked:
            return
        self.asked[peer.name] = question.number
        if question.urgent:
            self.urgent.add(peer.name)
            self.is_urgent.set()

    def begin(self, *, urgent_only: bool) -> dict[str, int]:
        """Returns the questions that a confirmation from now on answers."""
        names: collections.abc.Iterable[str] = self.asked
        if urgent_only:
            names = self.urgent
        questions = {name: self.asked[name] for name in names}
        self.urgent = set()
        self.is_urgent = anyio.Event()
        return questions

    def finish(self, questions: dict[str, int]) -> None:
        """Records that a quorum has confirmed the state after questions."""
        for name, number in questions.items():
            if name in self.answered:
                self.answered[name] = number
