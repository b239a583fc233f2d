from __future__ import annotations

import collections.abc
import contextlib
import json
import typing

import attrs
import httpcore

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.entry import daemon
from cactusstile.fakes import scripted_agent
from cactusstile.fakes import site as fake_site
from cactusstile.settings import entry as entry_settings
from cactusstile.settings import process
from cactusstile.state import holder
from cactusstile.state import model
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

SECRETS = handshake.Secrets(b"a-secret-of-the-fleet")
LOCAL = address.Address("127.0.0.1", 0)
KEYS = {"key-of-bank": "bank", "key-of-clinic": "clinic"}


@attrs.define
class Caller:
    """HTTP client of an entry."""

    url: str
    http: httpcore.AsyncConnectionPool

    async def request(
        self,
        path: str,
        body: object = None,
        *,
        key: str = "key-of-bank",
        method: str = "POST",
        headers: dict[str, str] | None = None,
        fields: tuple[tuple[str, str], ...] = (),
    ) -> httpcore.Response:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = [("Authorization", f"Bearer {key}"), *(headers or {}).items()]
        sent.extend(fields)
        return await self.http.request(
            method, self.url + path, headers=sent, content=data
        )

    async def complete(
        self, max_tokens: int = 8, **headers: str
    ) -> httpcore.Response:
        return await self.request(
            "/v1/completions",
            {"model": "chat", "prompt": "hello", "max_tokens": max_tokens},
            headers={
                name.replace("_", "-"): value for name, value in headers.items()
            },
        )

    async def stream(self, max_tokens: int = 8, **headers: str) -> list[str]:
        """Returns the data of each event of a streamed completion."""
        response = await self.request(
            "/v1/completions",
            {
                "model": "chat",
                "prompt": "hello",
                "max_tokens": max_tokens,
                "stream": True,
            },
            headers={
                name.replace("_", "-"): value for name, value in headers.items()
            },
        )
        assert response.status == 200, response.content
        events = response.content.decode().split("\n\n")
        assert events.pop() == ""
        return [event.removeprefix("data: ") for event in events]


@attrs.define
class Site(Caller):
    """An entry with its agents, and an HTTP client of the entry."""

    agents: list[scripted_agent.ScriptedAgent]
    entry: daemon.Entry


def header(response: httpcore.Response, name: str) -> str | None:
    for header_name, value in response.headers:
        if header_name.decode().lower() == name:
            return value.decode()
    return None


def error_of(response: httpcore.Response) -> dict[str, typing.Any]:
    return typing.cast(
        "dict[str, typing.Any]", json.loads(response.content)["error"]
    )


def text_of(events: list[str]) -> str:
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(
        chunk["choices"][0]["text"] for chunk in chunks if chunk.get("choices")
    )


def expected_text(
    max_tokens: int = 8, workspace: str = "bank", version: str = "v1"
) -> str:
    run = messages.Run(
        "", 0, workspace, "chat", version, "",
        tuple(tokens.byte_tokenizer("hello")), max_tokens=max_tokens,
    )  # fmt: skip
    return scripted_agent.detokenize(scripted_agent.output_tokens(run))


def build_fleet(
    agents: collections.abc.Sequence[scripted_agent.ScriptedAgent],
) -> model.Fleet:
    workspaces = {
        name: model.Workspace(name, (), max_running=64)
        for name in KEYS.values()
    }
    targets: dict[str, model.Target] = {}
    for agent in agents:
        engine = model.Target(
            agent.name, model.TargetKind.ENGINE, agent.bound, "ikeja", "chat"
        )
        service = model.Target(
            f"{agent.name}-s", model.TargetKind.SERVICE, agent.bound, "ikeja",
            "inventory",
        )  # fmt: skip
        targets |= {engine.name: engine, service.name: service}
    return model.Fleet(
        "site",
        1,
        workspaces,
        {"chat": model.Deployment("chat", "m", "v1", ("tone@2",), ("bank",))},
        {"inventory": model.Service("inventory")},
        targets,
    )


def settings(**changes: typing.Any) -> entry_settings.EntrySettings:
    common = process.ProcessSettings(
        "entry-1", "ikeja", LOCAL, LOCAL, (), SECRETS
    )
    built = entry_settings.EntrySettings(
        common, LOCAL, 100_000, 1_000_000, 256, 0.1, 0.1, "info"
    )
    return attrs.evolve(built, **changes)


@contextlib.asynccontextmanager
async def open_entry(
    site: fake_site.Site, **changes: typing.Any
) -> collections.abc.AsyncIterator[Caller]:
    """Opens an entry to a site; `changes` are those of its settings."""
    parts = daemon.Parts(site.fleet_holder, site.peers, KEYS.get)
    async with (
        daemon.open_entry(settings(**changes), parts) as entry,
        httpcore.AsyncConnectionPool(max_connections=50) as http,
    ):
        yield Caller(f"http://{entry.callers_address()}", http)


@contextlib.asynccontextmanager
async def open_site(
    agents: list[scripted_agent.ScriptedAgent], **changes: typing.Any
) -> collections.abc.AsyncIterator[Site]:
    async with contextlib.AsyncExitStack() as stack:
        for agent in agents:
            await stack.enter_async_context(
                scripted_agent.open_agent(agent, SECRETS)
            )
        fleet = holder.FleetHolder()
        fleet.advance(build_fleet(agents))
        fleet.confirmed.set()
        identity = handshake.Identity("entry", "entry-1")
        peers = await stack.enter_async_context(
            pool.open_pool(identity, SECRETS)
        )
        own_parts = changes.pop("own_parts", {})
        parts = daemon.Parts(fleet, peers, KEYS.get, **own_parts)
        entry = await stack.enter_async_context(
            daemon.open_entry(settings(**changes), parts)
        )
        http = await stack.enter_async_context(
            httpcore.AsyncConnectionPool(max_connections=200)
        )
        yield Site(f"http://{entry.callers_address()}", http, agents, entry)
