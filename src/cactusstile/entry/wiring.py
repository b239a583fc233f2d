"""Opens the parts of an entry that runs as a process of its own."""

from __future__ import annotations

import contextlib
import typing

from cactusstile.entry import daemon
from cactusstile.entry import homes
from cactusstile.state import follower
from cactusstile.state import keys
from cactusstile.transport import handshake

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.settings import entry as entry_settings
    from cactusstile.state import model


@contextlib.asynccontextmanager
async def open_parts(
    settings: entry_settings.EntrySettings,
) -> collections.abc.AsyncIterator[daemon.Parts]:
    """Follows the fleet and routes by it.

    Raises:
      OSError: If the address for children in the tree cannot be bound.
    """
    identity = handshake.Identity("entry", settings.process.name)
    async with follower.open_follower(
        settings.process, identity, serves_children=True
    ) as following:
        held = following.fleet_holder
        ring = keys.KeyRing()

        def load_keys(_old: model.Fleet, new: model.Fleet) -> None:
            ring.load(new)

        held.observe(load_keys)
        yield daemon.Parts(
            fleet=held,
            peers=following.peers,
            find_workspace=ring.find_workspace,
            routing=homes.build(lambda: held.fleet, reserve=True),
        )
