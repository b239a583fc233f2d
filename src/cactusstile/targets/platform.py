"""Client of the platform's list of VMs."""

from __future__ import annotations

import enum
import typing

from cactusstile import json_text
from cactusstile.targets import exceptions
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

CALL_TIMEOUT_S = 2.0
MAX_VMS = 100_000


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


def parse_vms(data: bytes) -> dict[str, VmState]:
    """Returns the states of the listed VMs; unknown states count as live.

    Entries may come from other writers: one without a name is skipped.

    Raises:
      ValueError: The list itself is malformed.

    >>> parse_vms(b'{"vms": [{"name": "vm1", "state": "leaving"}]}')
    {'vm1': <VmState.LEAVING: 'leaving'>}
    """
    page = json_text.load_answer(data)
    entries = page.get("vms") if isinstance(page, dict) else None
    if not isinstance(entries, list):
        raise ValueError("vms is not a list")
    states = {}
    for entry in entries[:MAX_VMS]:
        if not isinstance(entry, dict) or not isinstance(
            entry.get("name"), str
        ):
            continue
        leaving = entry.get("state") == VmState.LEAVING.value
        state = VmState.LEAVING if leaving else VmState.LIVE
        states[entry["name"]] = state
    return states


async def list_vms(
    target: http.HttpTarget,
    parse: collections.abc.Callable[[bytes], dict[str, VmState]] = parse_vms,
) -> dict[str, VmState]:
    """Returns the platform's list, which lags behind the actual states.

    Raises:
      TargetError: If the platform did not return a valid list.
    """
    request = http.Request("GET", "/vms")
    response = await target.call_ok(request, timeout_s=CALL_TIMEOUT_S)
    try:
        return parse(response.body)
    except exceptions.MALFORMED as error:
        raise exceptions.TargetError(
            f"the platform's VM list is malformed: {error!r}", sent=True
        ) from error
