"""Calls by which operators evacuate data centres, on the leader."""

from __future__ import annotations

import enum
import json
import logging
import re
import typing
import urllib.parse

import attrs

from cactusstile.control import commands
from cactusstile.platform import calls
from cactusstile.registry import answers
from cactusstile.registry import evacuations
from cactusstile.sites import evacuation_messages

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.http import messages as http_messages
    from cactusstile.http import responder as responders
    from cactusstile.registry import state as states

logger = logging.getLogger(__name__)

_PATH = "/evacuations"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")
_MAKE_COMMAND: dict[object, type[evacuation_messages.Command]] = {
    "PUT": evacuation_messages.BeginEvacuation,
    "DELETE": evacuation_messages.EndEvacuation,
    calls.EvacuationCall.BEGIN: evacuation_messages.BeginEvacuation,
    calls.EvacuationCall.END: evacuation_messages.EndEvacuation,
}


class ListCall(enum.Enum):
    """The call that lists evacuations, by method and path."""

    LIST = "GET /evacuations"


@attrs.frozen
class ChangeCall:
    """A call that changes evacuations.

    Attributes:
      command: The change; its data centre is not checked yet.
    """

    command: evacuation_messages.Command

    @property
    def name(self) -> str:
        """Name of the call, for logs."""
        return type(self.command).__name__


def find(request: http_messages.Request) -> ListCall | ChangeCall | None:
    """Returns the call on evacuations that a request makes, if any."""
    method = request.method.decode("ascii", "replace")
    if f"{method} {request.path}" == ListCall.LIST.value:
        return ListCall.LIST
    platform_call = calls.find_evacuation_call(request)
    if platform_call is not None:
        call, name = platform_call
        return ChangeCall(_MAKE_COMMAND[call](name))
    folder, _, encoded = request.path.rpartition("/")
    if folder != _PATH or method not in _MAKE_COMMAND:
        return None
    return ChangeCall(_MAKE_COMMAND[method](urllib.parse.unquote(encoded)))


def encode(table: evacuations.EvacuationTable) -> bytes:
    """Returns the body of the answer to `ListCall.LIST`."""
    return json.dumps(evacuations.describe(table)).encode()


async def change(
    site: states.SiteState,
    own_replica: replica.Replica,
    command: evacuation_messages.Command,
    responder: responders.Responder,
) -> None:
    """Commits a change unless it is in force, and answers the operator.

    Raises:
      ConsensusError: This replica does not lead, or the outcome is unknown.
    """
    name = command.data_centre
    if _NAME.fullmatch(name) is None:
        text = f"{name!r} is no name of a data centre"
        await answers.respond(responder, answers.INVALID, text)
        return
    before = site.evacuation_table()
    is_done = True
    if before.after(command) != before:
        result = await own_replica.propose(commands.pack(command))
        outcome = typing.cast(
            "evacuation_messages.EvacuationOutcome",
            commands.unpack_result(result),
        )
        is_done = outcome.is_done
        logger.info(
            "evacuations changed",
            extra={
                "command": type(command).__name__,
                "data_centre": name,
                "done": is_done,
            },
        )
    if not is_done:
        text = "too many data centres are evacuated; end one first"
        await answers.respond(responder, answers.CONFLICT, text)
        return
    await answers.respond(responder, answers.OK, "accepted")
