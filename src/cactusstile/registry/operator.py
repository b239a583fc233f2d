"""HTTP interface for operators of a site."""

from __future__ import annotations

import hashlib
import logging
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import commands
from cactusstile.http import messages as http_messages
from cactusstile.http import responder as responders
from cactusstile.platform import calls
from cactusstile.platform import configurations
from cactusstile.registry import answers
from cactusstile.registry import commands as site_commands
from cactusstile.registry import evacuation_calls
from cactusstile.registry import hold_calls
from cactusstile.registry import operator_calls
from cactusstile.registry import shared_scope
from cactusstile.registry import state as states
from cactusstile.sites import documents
from cactusstile.sites import hold_messages
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica

logger = logging.getLogger(__name__)

# Bound of the time to commit a change. Callers wait one second for an answer.
COMMIT_TIMEOUT_S = 3.0


class OperatorInterface:
    """Serves operator calls on the leader; other replicas redirect to it."""

    def __init__(
        self,
        site: states.SiteState,
        own_replica: replica.Replica,
        own_hold_calls: hold_calls.HoldCalls,
        operator_port: int,
    ) -> None:
        """Creates the interface; it handles no call yet.

        Args:
          site: Replicated state of the site.
          own_replica: This process's replica.
          own_hold_calls: Changes holds.
          operator_port: Port of this interface, the same on all control VMs.
        """
        self.site = site
        self.replica = own_replica
        self.hold_calls = own_hold_calls
        self.operator_port = operator_port

    async def handle(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        """Handles one request; see `http.callers`."""
        call = operator_calls.find(request)
        if call is None:
            await answers.respond(
                responder, answers.NOT_FOUND, "there is no such call"
            )
            return
        try:
            with anyio.fail_after(COMMIT_TIMEOUT_S):
                await self.replica.read_barrier()
                await self._dispatch(call, request, responder)
        except consensus_exceptions.NotLeaderError as error:
            leader = self._other_leader(error.leader_address)
            await answers.redirect(
                request, responder, leader, self.operator_port
            )
        except consensus_exceptions.OverloadedError as error:
            await answers.respond(responder, answers.UNAVAILABLE, str(error))
        except (consensus_exceptions.ConsensusError, TimeoutError) as error:
            logger.warning(
                "operator call ended without a known outcome",
                extra={"call": call.name, "error": str(error)},
            )
            await answers.respond(
                responder, answers.UNCERTAIN, "the outcome is not known yet"
            )

    async def _dispatch(
        self,
        call: operator_calls.Call,
        request: http_messages.Request,
        responder: responders.Responder,
    ) -> None:
        await responder.take_turn()
        if call is calls.OperatorCall.READ_CONFIGURATION:
            await self._read_configuration(responder)
        elif call is calls.OperatorCall.NAME_WEIGHTS:
            await self._name_weights(request, responder)
        elif call is operator_calls.HoldCall.LIST:
            document = operator_calls.encode_holds(self.site.hold_table())
            fields = [answers.JSON_CONTENT]
            await responder.respond(answers.OK, fields, document)
        elif call is operator_calls.HoldCall.RELEASE:
            await self._release_hold(request, responder)
        elif call is evacuation_calls.ListCall.LIST:
            document = evacuation_calls.encode(self.site.evacuation_table())
            fields = [answers.JSON_CONTENT]
            await responder.respond(answers.OK, fields, document)
        elif isinstance(call, evacuation_calls.ChangeCall):
            await evacuation_calls.change(
                self.site, self.replica, call.command, responder
            )
        else:
            await self._replace_configuration(request, responder)

    def _other_leader(self, leader: str) -> address.Address | None:
        """Returns the leader's address; None if no other leader is known."""
        if leader == self.replica.settings.address:
            return None
        return next(iter(address.parse_valid((leader,))), None)

    async def _read_configuration(
        self, responder: responders.Responder
    ) -> None:
        if not self.site.has_configuration:
            await answers.respond(
                responder, answers.UNAVAILABLE, "no configuration yet"
            )
            return
        document = documents.decompress(self.site.image.document)
        await responder.respond(answers.OK, [answers.JSON_CONTENT], document)

    async def _replace_configuration(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        """Commits a configuration unless it is invalid or not newer."""
        try:
            command = make_command(request.body)
        except model.InvalidConfigurationError as error:
            logger.info("configuration rejected", extra={"reason": str(error)})
            await answers.respond(responder, answers.INVALID, str(error))
            return
        version = command.version
        decision = self.site.evaluate_configuration(version, command.digest)
        began_s = anyio.current_time()
        if decision.outcome == "accepted":
            result = await self.replica.propose(commands.pack(command))
            decision = typing.cast(
                "site_commands.ConfigurationOutcome",
                commands.unpack_result(result),
            )
        logger.info(
            "configuration processed",
            extra={
                "outcome": decision.outcome,
                "version": version,
                "in_force": decision.version,
                "commit_ms": round((anyio.current_time() - began_s) * 1000, 1),
            },
        )
        if decision.outcome == "conflict":
            text = f"version {version} has other content already"
            await answers.respond(responder, answers.CONFLICT, text)
            return
        await answers.respond(responder, answers.OK, decision.outcome)

    async def _release_hold(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        try:
            hold_id = operator_calls.decode_release(request.body)
        except (ValueError, RecursionError) as error:
            await answers.respond(
                responder, answers.INVALID, f"cannot be read: {error}"
            )
            return
        command = hold_messages.ReleaseHold(hold_id)
        outcome = await self.hold_calls.propose(command)
        if not outcome.is_done:
            text = "no such hold is in force; list the holds"
            await answers.respond(responder, answers.NOT_FOUND, text)
            return
        await answers.respond(responder, answers.OK, "released")

    async def _name_weights(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        try:
            named = calls.decode_weights(request.body)
        except (ValueError, RecursionError) as error:
            await answers.respond(
                responder, answers.INVALID, f"cannot be read: {error}"
            )
            return
        if self.site.weights().get(named.model, 0) < named.version:
            command = site_commands.NameWeights(named.model, named.version)
            await self.replica.propose(commands.pack(command))
        logger.info(
            "newest weights set",
            extra={"model": named.model, "version": named.version},
        )
        await answers.respond(responder, answers.OK, "accepted")


def make_command(document: bytes) -> site_commands.ReplaceConfiguration:
    """Returns the command that puts a configuration in force.

    Its decoded form takes many times its size, and is gone on return.

    Raises:
      InvalidConfigurationError: The configuration is invalid.
    """
    decoded = configurations.decode(document)
    workspaces = decoded.workspaces or ()
    canonical = configurations.canonical(document)
    return site_commands.ReplaceConfiguration(
        decoded.version,
        hashlib.sha256(canonical).digest(),
        documents.compress(document),
        shared_scope.find_sharers(workspaces, isolated=False),
        shared_scope.find_sharers(workspaces, isolated=True),
    )
