"""Waits until data folders that refused access can be used again."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.to_thread
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import replica

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica_settings

logger = logging.getLogger(__name__)

# Time between attempts to open the folders; it doubles up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


@attrs.define
class StorageWait:
    """Pauses between attempts to open data folders.

    Attributes:
      next_s: Pause before the next attempt, in seconds.
    """

    next_s: float = FIRST_PAUSE_S

    def reset_after(self, served_s: float) -> None:
        """Begins with the shortest pause again after a run that lasted."""
        if served_s > LONGEST_PAUSE_S:
            self.next_s = FIRST_PAUSE_S

    async def until_usable(
        self,
        replicas: collections.abc.Sequence[replica_settings.ReplicaSettings],
    ) -> None:
        """Returns once the data folders of all replicas open and sync.

        The check runs in a thread: a disk that hangs must not hold up the event
        loop, which redirects callers and receives signals meanwhile.

        Raises:
          StorageError: A folder is damaged or belongs to another replica.
        """
        while True:
            await anyio.sleep(self.next_s)
            self.next_s = min(2 * self.next_s, LONGEST_PAUSE_S)
            try:
                for settings in replicas:
                    await anyio.to_thread.run_sync(
                        replica.check_storage, settings
                    )
            except exceptions.StorageUnavailableError as error:
                logger.warning(
                    "the data folder cannot be used yet",
                    extra={"error": str(error)},
                )
                continue
            logger.info("the data folder can be used again")
            return


def find_cause(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Returns the first exception of nested groups."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
