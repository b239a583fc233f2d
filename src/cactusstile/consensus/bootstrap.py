"""Bootstrap of a group, and discovery of replicas that want to join.

Replicas that belong to no group announce themselves by `Hello` messages. The
first founder in the list waits until all others have announced themselves, then
creates the group with these incarnations as its first members. Each data folder
joins one group permanently, so a founder that lost its disk cannot bootstrap a
second group with the votes of the first.
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

    from cactusstile.consensus import core

HELLO_INTERVAL_S = 0.25
HELLO_EXPIRY_S = 3.0
MAX_JOINING_REPLICAS = 32
GROUP_ID_BYTES = 8
FIRST_INDEX = 1
FIRST_TERM = 1


@attrs.define
class DiscoveredReplica:
    """A replica that announced itself.

    Attributes:
      hello: Last announcement of the replica.
      last_seen: Time of that announcement, in monotonic seconds.
    """

    hello: messages.Hello
    last_seen: float


@attrs.define
class DiscoveredReplicas:
    """Replicas that recently announced themselves.

    Attributes:
      by_name: Last announcement of each replica without a group, by name,
        oldest first.
      group_exists: Whether any replica reported that it belongs to a group.
    """

    by_name: dict[str, DiscoveredReplica] = attrs.field(factory=dict)
    group_exists: bool = False

    def add(self, hello: messages.Hello, now: float) -> None:
        """Records an announcement; drops the oldest if there are too many."""
        if hello.group:
            self.group_exists = True
            return
        self.by_name.pop(hello.name, None)
        if len(self.by_name) >= MAX_JOINING_REPLICAS:
            del self.by_name[next(iter(self.by_name))]
        self.by_name[hello.name] = DiscoveredReplica(hello, now)

    def current(
        self, configuration: membership.Configuration, now: float
    ) -> list[messages.Hello]:
        """Returns recently announced replicas that are not members."""
        joining = []
        for replica in self.by_name.values():
            hello = replica.hello
            if now - replica.last_seen > HELLO_EXPIRY_S:
                continue
            identity = membership.member_id(hello.name, hello.incarnation)
            if configuration.find(identity) is None:
                joining.append(hello)
        return joining


def bootstrap_group(
    own: messages.Hello,
    founder_names: collections.abc.Sequence[str],
    discovered: collections.abc.Sequence[messages.Hello],
) -> list[effects.Write]:
    """Returns the writes that create the group; empty if a founder is missing.

    Args:
      own: Announcement of this replica.
      founder_names: Names of the initial members.
      discovered: Announcements of other replicas.
    """
    hellos = {hello.name: hello for hello in discovered}
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
    group = secrets.token_hex(GROUP_ID_BYTES)
    return [
        effects.SaveMetadata(group, FIRST_TERM, ""),
        effects.InstallSnapshot(
            FIRST_INDEX, FIRST_TERM, membership.encode(configuration), b""
        ),
    ]


def forget_interrupted(recovered: core.RecoveredState) -> core.RecoveredState:
    """Returns the state without a group whose creation was interrupted.

    The group is recorded before its members are. A replica that knows neither
    members nor a later term has promised nothing in the group.
    """
    if recovered.snapshot_index or recovered.entries or recovered.vote:
        return recovered
    if recovered.term > FIRST_TERM:
        return recovered
    return attrs.evolve(recovered, group="", term=0)
