"""Control process of a VM without a disk: redirects operators to the leader.

A replica must not forget what it acknowledged, so a process without a disk
holds none. Operators may call any VM of the control role and are redirected.
"""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs
import prometheus_client

from cactusstile.http import callers
from cactusstile.http import serving as servings
from cactusstile.observability import plain_admin
from cactusstile.registry import answers
from cactusstile.registry import leader_lookup
from cactusstile.registry import operator_calls
from cactusstile.transport import handshake
from cactusstile.transport import pool as pools

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.http import messages as http_messages
    from cactusstile.http import responder as responders
    from cactusstile.settings import node

ROLE = "registry"
LOOKUP_TIMEOUT_S = 0.9


@attrs.frozen
class Redirector:
    """Components of a running process without a replica.

    Attributes:
      settings: Settings of the node.
      lookup: Finds the leader.
      listeners: Listeners for operators and administrators.
    """

    settings: node.NodeSettings
    lookup: leader_lookup.LeaderLookup
    listeners: list[servings.Serving] = attrs.field(factory=list)

    async def finish_calls(self) -> None:
        """Waits until the calls that have begun are answered."""
        for serving in self.listeners:
            await serving.finish(LOOKUP_TIMEOUT_S)

    def reload(self, settings: node.NodeSettings) -> None:
        """Uses the seeds of changed settings."""
        self.lookup.seeds = settings.internal_seeds

    async def handle(
        self, request: http_messages.Request, responder: responders.Responder
    ) -> None:
        """Handles one operator call; see `http.callers`."""
        if operator_calls.find(request) is None:
            await answers.respond(
                responder, answers.NOT_FOUND, "there is no such call"
            )
            return
        leader = None
        with anyio.move_on_after(LOOKUP_TIMEOUT_S):
            leader = await self.lookup.find()
        assert self.settings.operator is not None  # noqa: S101
        port = self.settings.operator.port
        await answers.redirect(request, responder, leader, port)

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of the process."""
        return {
            "name": self.settings.name,
            "role": "redirector",
            "leader": str(self.lookup.leader or ""),
            "control": [str(peer) for peer in self.lookup.known],
        }


@contextlib.asynccontextmanager
async def open_redirector(
    settings: node.NodeSettings,
) -> collections.abc.AsyncIterator[Redirector]:
    """Starts a redirector; leaving the context stops it.

    Raises:
      OSError: An address cannot be bound.
    """
    identity = handshake.Identity(ROLE, settings.name)
    secrets = handshake.Secrets(settings.secret.encode())
    async with contextlib.AsyncExitStack() as stack:
        closers = stack.enter_context(contextlib.ExitStack())
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        connections = await stack.enter_async_context(
            pools.open_pool(identity, secrets)
        )
        lookup = leader_lookup.LeaderLookup(
            connections, settings.internal_seeds
        )
        redirector = Redirector(settings, lookup)
        admin = plain_admin.build(
            prometheus_client.CollectorRegistry(), redirector.dump
        )
        listeners = [(settings.admin_address, callers.internal_serving(admin))]
        if settings.operator is not None:
            serving = callers.internal_serving(
                redirector.handle,
                answers.max_document_bytes(settings.memory_mb),
            )
            listeners.append((settings.operator, serving))
        for listen_address, serving in listeners:
            redirector.listeners.append(serving)
            await callers.open_listener(
                settings.bind_address(listen_address), serving, group, closers
            )
        yield redirector
