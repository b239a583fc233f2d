"""How a group is founded, and how later replicas make themselves known.

The founder that is listed first waits until it has heard from all others,
then fixes the first members by their incarnations. Each data folder joins one
group for good, so a founder that lost its disk cannot found a second group
with the votes of the first.
"""

from __future__ import annotations

import secrets
import typing

import attrs

from cactusstile.consensus import effects
from cactusstile.consensus import membership
from cactusstile.consensus import messages

if typing.TYPE_CHECKING:
    import collections.abc

HELLO_INTERVAL_S = 0.25
HELLO_EXPIRY_S = 3.0
MAX_JOINING = 32
GROUP_BYTES = 8
FIRST_INDEX = 1
FIRST_TERM = 1


@attrs.define
class Heard:
    """A replica that made itself known, and when."""

    hello: messages.Hello
    at: float


@attrs.define
class KnownReplicas:
    """Replicas that made themselves known lately.

    Attributes:
      heard: Last word of each replica, by name.
      group_exists: Whether any of them belongs to a group.
    """

    heard: dict[str, Heard] = attrs.field(factory=dict)
    group_exists: bool = False

    def add(self, hello: messages.Hello, now: float) -> None:
        """Notes a replica; the oldest is dropped if there are too many."""
        if hello.group:
            self.group_exists = True
            return
        self.heard.pop(hello.name, None)
        if len(self.heard) >= MAX_JOINING:
            del self.heard[next(iter(self.heard))]
        self.heard[hello.name] = Heard(hello, now)

    def current(
        self, configuration: membership.Configuration, now: float
    ) -> list[messages.Hello]:
        """Returns the replicas that are known now but are not members."""
        found = []
        for heard in self.heard.values():
            hello = heard.hello
            if now - heard.at > HELLO_EXPIRY_S:
                continue
            identity = membership.member_id(hello.name, hello.incarnation)
            if configuration.find(identity) is None:
                found.append(hello)
        return found


def found_group(
    own: messages.Hello,
    founder_names: collections.abc.Sequence[str],
    known: collections.abc.Sequence[messages.Hello],
) -> list[effects.Write]:
    """Returns the writes that found the group; none if one is missing."""
    hellos = {hello.name: hello for hello in known}
    hellos[own.name] = own
    members = []
    for name in founder_names:
        hello = hellos.get(name)
        if hello is None:
            return []
        members.append(
            membership.Member(hello.name, hello.incarnation, hello.address)
        )
    configuration = membership.Configuration(tuple(members))
    group = secrets.token_hex(GROUP_BYTES)
    return [
        effects.SaveMetadata(group, FIRST_TERM, ""),
        effects.InstallSnapshot(
            FIRST_INDEX, FIRST_TERM, membership.encode(configuration), b""
        ),
    ]
