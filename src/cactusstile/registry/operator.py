"""The operator's interface: configurations and weights, over HTTP."""

from __future__ import annotations

import hashlib
import json
import logging
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import commands
from cactusstile.http import messages as http_messages
from cactusstile.http import responder as responders
from cactusstile.platform import calls
from cactusstile.platform import configurations
from cactusstile.registry import commands as site_commands
from cactusstile.registry import state as states
from cactusstile.sites import documents
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica

logger = logging.getLogger(__name__)

# Time within which a change is committed; callers wait a second.
COMMIT_TIMEOUT_S = 3.0
OK = 200
TEMPORARY_REDIRECT = 307
INVALID = 400
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
# No promise: the change may be committed later.
UNCERTAIN = 504
_JSON = (b"content-type", b"application/json")


class OperatorInterface:
    """Answers the operator's calls at the leader; others point to it."""

    def __init__(
        self,
        site: states.SiteState,
        own_replica: replica.Replica,
        operator_port: int,
    ) -> None:
        """Answers from `site` and `own_replica`.

        Args:
          site: The replicated state.
          own_replica: This process's replica.
          operator_port: Port of this interface on all control VMs.
        """
        self.site = site
        self.replica = own_replica
        self.operator_port = operator_port

    async def handle(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        """Answers one call; see `http.callers`."""
        call = calls.operator_call(request)
        if call is None:
            await _answer(responder, NOT_FOUND, "there is no such call")
            return
        try:
            with anyio.fail_after(COMMIT_TIMEOUT_S):
                await self.replica.read_barrier()
                await self._carry_out(call, request, responder)
        except consensus_exceptions.NotLeaderError as error:
            await self._redirect(request, responder, error.leader_address)
        except consensus_exceptions.OverloadedError as error:
            await _answer(responder, UNAVAILABLE, str(error))
        except (consensus_exceptions.ConsensusError, TimeoutError) as error:
            logger.warning(
                "a change was left without a clear answer",
                extra={"call": call.name, "error": str(error)},
            )
            await _answer(responder, UNCERTAIN, "the outcome is not known yet")

    async def _carry_out(
        self,
        call: calls.OperatorCall,
        request: http_messages.Request,
        responder: responders.Responder,
    ) -> None:
        if call is calls.OperatorCall.READ_CONFIGURATION:
            await self._read(responder)
        elif call is calls.OperatorCall.NAME_WEIGHTS:
            await self._name_weights(request, responder)
        else:
            await self._replace(request, responder)

    async def _redirect(
        self,
        request: http_messages.Request,
        responder: responders.Responder,
        leader: str,
    ) -> None:
        """Points to the leader, if one is known."""
        if not leader or leader == self.replica.settings.address:
            await _answer(responder, UNAVAILABLE, "no leader is known")
            return
        host = address.parse(leader).host
        there = address.Address(host, self.operator_port)
        location = f"http://{there}{request.target.decode('ascii', 'replace')}"
        await responder.respond(
            TEMPORARY_REDIRECT, [(b"location", location.encode())], b""
        )

    async def _read(self, responder: responders.Responder) -> None:
        if not self.site.has_configuration:
            await _answer(responder, UNAVAILABLE, "no configuration yet")
            return
        document = documents.decompress(self.site.image.document)
        await responder.respond(OK, [_JSON], document)

    async def _replace(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        """Commits a configuration unless it is invalid or outdated."""
        try:
            read = configurations.decode(request.body)
        except model.InvalidConfigurationError as error:
            logger.info("refused a configuration", extra={"reason": str(error)})
            await _answer(responder, INVALID, str(error))
            return
        spelling = configurations.canonical(request.body)
        digest = hashlib.sha256(spelling).digest()
        found = self.site.outcome_of(read.version, digest)
        if found.outcome == "accepted":
            command = site_commands.ReplaceConfiguration(
                read.version, digest, documents.compress(request.body)
            )
            result = await self.replica.propose(commands.pack(command))
            found = typing.cast(
                "site_commands.ConfigurationOutcome",
                commands.unpack_result(result),
            )
        logger.info(
            "answered a configuration",
            extra={
                "outcome": found.outcome,
                "version": read.version,
                "in_force": found.version,
            },
        )
        if found.outcome == "conflict":
            text = f"version {read.version} has other content already"
            await _answer(responder, CONFLICT, text)
            return
        await _answer(responder, OK, found.outcome)

    async def _name_weights(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        try:
            named = calls.decode_weights(request.body)
        except (ValueError, RecursionError) as error:
            await _answer(responder, INVALID, f"cannot be read: {error}")
            return
        if self.site.weights().get(named.model, 0) < named.version:
            command = site_commands.NameWeights(named.model, named.version)
            await self.replica.propose(commands.pack(command))
        logger.info(
            "weights were named",
            extra={"model": named.model, "version": named.version},
        )
        await _answer(responder, OK, "accepted")


async def _answer(
    responder: responders.Responder, status: int, text: str
) -> None:
    if responder.started:
        return
    body = json.dumps({"result": text}).encode()
    await responder.respond(status, [_JSON], body)
