"""Command `history`: lists the configurations that were applied."""

from __future__ import annotations

import datetime

import attrs

from cactusstile.console import operator
from cactusstile.control import client
from cactusstile.control import messages
from cactusstile.control import operations

DEFAULT_COUNT = 20


def run(
    count: int = DEFAULT_COUNT,
    *,
    timeout_s: float = client.CALL_TIMEOUT_S,
    json: bool = False,
    settings: str = operator.DEFAULT_SETTINGS,
) -> None:
    """Lists the last changes, the oldest first.

    Args:
      count: How many to list.
      timeout_s: Bound on the wait for control, in seconds.
      json: Whether to print JSON.
      settings: Path of the operator's settings.
    """

    async def read(
        opened: operations.OperatorSession,
    ) -> list[messages.ChangeRecord]:
        return list(
            await opened.control.read_history(
                max(0, count), timeout_s=timeout_s
            )
        )

    records = operator.run(settings, read)
    if json:
        without_bodies = [attrs.evolve(record, body=b"") for record in records]
        operator.print_json(without_bodies)
        return
    for record in records:
        at = datetime.datetime.fromtimestamp(record.at_ms / 1000, datetime.UTC)
        print(
            f"{record.revision:>8}  {at:%Y-%m-%d %H:%M:%S}  "
            f"{record.digest.hex()[:12]}  {record.operator}"
        )
