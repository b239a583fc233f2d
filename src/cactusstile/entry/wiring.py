"""Dependencies of an entry that runs as a separate process."""

from __future__ import annotations

import contextlib
import typing

from cactusstile import verdict
from cactusstile.control import claim_messages
from cactusstile.control import client
from cactusstile.control import exceptions
from cactusstile.entry import daemon
from cactusstile.state import confirmed_revisions
from cactusstile.state import follower
from cactusstile.state import keys
from cactusstile.transport import handshake

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.filters import earlier_attempts
    from cactusstile.filters import final_refusals
    from cactusstile.settings import entry as entry_settings
    from cactusstile.state import model


CLOSE_KEY_TIMEOUT_S = 0.5
ALLOCATE_EPOCH_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0


@contextlib.asynccontextmanager
async def open_parts(
    settings: entry_settings.EntrySettings,
) -> collections.abc.AsyncIterator[daemon.Parts]:
    """Yields the dependencies of an entry that follows the fleet.

    Raises:
      OSError: If the listen address for children in the distribution tree
        cannot be bound.
    """
    identity = handshake.Identity("entry", settings.process.name)
    async with follower.open_follower(
        settings.process, identity, serves_children=True
    ) as fleet_follower:
        holder = fleet_follower.fleet_holder
        key_ring = keys.KeyRing()

        def load_keys(_old: model.Fleet, new: model.Fleet) -> None:
            key_ring.load(new)

        holder.observe(load_keys)
        yield daemon.Parts(
            fleet=holder,
            peers=fleet_follower.peers,
            find_workspace=key_ring.find_workspace,
            close_key=build_close_key(fleet_follower.control),
            allocate_epoch=build_allocate_epoch(fleet_follower.control),
            read_revision=build_read_revision(fleet_follower.control),
        )


def build_read_revision(
    control: client.ControlClient,
) -> final_refusals.ReadRevision:
    """Returns a function that reads the newest revision from control."""

    async def read_revision() -> int:
        latest = await control.read_revision(
            timeout_s=confirmed_revisions.CONFIRM_TIMEOUT_S
        )
        return latest.revision

    return confirmed_revisions.ConfirmedRevisions(read_revision).read


def build_close_key(
    control: client.ControlClient,
) -> earlier_attempts.CloseKey:
    """Returns a function that closes a key to earlier attempts.

    The function returns True, the cautious answer, if control fails.
    """

    async def close_key(workspace: str, request_key: str) -> bool:
        try:
            grant = await control.close_claim(
                workspace, request_key, b"", timeout_s=CLOSE_KEY_TIMEOUT_S
            )
        except exceptions.ControlError:
            return True
        return grant.state is not claim_messages.ClaimState.CLOSED

    return close_key


def build_allocate_epoch(
    control: client.ControlClient,
) -> earlier_attempts.AllocateEpoch:
    """Returns a function that obtains epochs from control."""

    async def allocate_epoch(workspace: str, request_key: str) -> int:
        try:
            grant = await control.read_claim(
                workspace, request_key, b"", timeout_s=ALLOCATE_EPOCH_TIMEOUT_S
            )
        except exceptions.ControlError as error:
            raise verdict.refuse(
                verdict.Reason.CONTROL_UNAVAILABLE,
                f"control cannot be asked for this key now: {error}",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        return grant.epoch

    return allocate_epoch
