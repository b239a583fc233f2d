"""Operators of the soak: they change, race, resend and read back."""

from __future__ import annotations

import json
import random
import typing

import anyio
import attrs
from tests.soak import history as histories
from tests.soak import stand_ins
from tests.support import node_site

from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.transport import address

ANSWER_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_REDIRECTS = 2
READ_INTERVAL_S = 0.15
# Versions between two changes of the key that is withdrawn.
KEY_STEPS = 4
_OK = 200
_REDIRECT = 307
_FINAL = (400, 409, 412, 413, 422)
_ROUTES = (
    ("read", "/read/", "idempotent", ("plain",)),
    ("write", "/write/", "non_idempotent", ("plain",)),
    ("talk", "/talk/", "streaming", (stand_ins.ENGINE,)),
    ("draft", "/draft/", "streaming", (stand_ins.ENGINE,)),
)
WORKSPACES = {"bank": "key-of-bank", "clinic": "key-of-clinic"}
SERVICES = ("plain", "other", stand_ins.ENGINE)


def moved_service(version: int) -> str:
    """Returns the service that a version sends `/moved/` to."""
    return "plain" if version % 2 else "other"


def passing_key(version: int) -> str:
    """Returns the key that only some versions know."""
    return f"key-from-{version // KEY_STEPS}"


def document(version: int) -> dict[str, typing.Any]:
    """Returns the configuration of a version."""
    moved = ("moved", "/moved/", "idempotent", (moved_service(version),))
    tenants: list[dict[str, typing.Any]] = [
        {"name": name, "apiKeys": [key], "isolated": name == "clinic"}
        for name, key in WORKSPACES.items()
    ]
    tenants.append({"name": "passing", "apiKeys": [passing_key(version)]})
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": [_route(*one) for one in (*_ROUTES, moved)],
        "services": _services(),
        "limits": limits,
        "tenants": tenants,
    }


def _route(
    name: str, prefix: str, kind: str, services: tuple[str, ...]
) -> dict[str, typing.Any]:
    return {
        "name": name,
        "host": "soak.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 600,
        "priority": 1,
        "trafficSplit": [{"service": one, "weight": 1} for one in services],
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": name == "talk",
        "targetGapMs": 300,
    }


def _services() -> list[dict[str, typing.Any]]:
    found: list[dict[str, typing.Any]] = [
        {"name": one, "healthCheck": "/healthz", "maxConnections": 300}
        for one in SERVICES
    ]
    found[-1]["engine"] = {
        "slots": stand_ins.PLACES,
        "kvCapacity": 100_000,
        "kvTokenBytes": 1000,
        "models": [{"name": stand_ins.MODEL}],
    }
    return found


def invalid_document(version: int, which: int) -> dict[str, typing.Any]:
    """Returns a configuration that must be refused."""
    found = document(version)
    route = found["routes"][0]
    if which == 0:
        route["timeoutMs"] = 0
    elif which == 1:
        route["trafficSplit"] = [{"service": "absent", "weight": 1}]
    elif which == 2:
        found["routes"].append(dict(route))
    else:
        found["tenants"][1]["apiKeys"] = found["tenants"][0]["apiKeys"]
    return found


@attrs.define
class Operators:
    """What all operators of one run share.

    Attributes:
      registries: Operator addresses by process.
      history: Takes what they see.
      random: Draws what they do.
      named: Weights that were named.
      version: Highest version that was given out.
      stopped: Whether they make no further change.
    """

    registries: dict[str, address.Address]
    history: histories.History
    random: random.Random
    named: stand_ins.Weights
    version: int = 0
    stopped: bool = False

    async def change(self, pause_s: float) -> None:
        """Makes changes, one after the other, until stopped."""
        while not self.stopped:
            if self.random.random() < 0.1:
                await self._send_invalid()
            await self.make_change()
            await anyio.sleep(self.random.expovariate(1 / pause_s))

    async def make_change(self) -> None:
        """Sends a new version until it is answered."""
        self.version += self.random.choice((1, 1, 2, 5))
        content = document(self.version)
        change = histories.Change(self.version, content, anyio.current_time())
        self.history.changes.append(change)
        request = _post(b"/-/Config.Replace", content)
        status = await self._send_until_clear(request)
        if status == _OK:
            change.acknowledged_s = anyio.current_time()
            return
        change.refused = status

    async def _send_invalid(self) -> None:
        content = invalid_document(self.version + 1, self.random.randrange(4))
        status, _ = await self._call(_post(b"/-/Config.Replace", content))
        if status == _OK:
            self.history.invalid_accepted.append(json.dumps(content))

    async def name_weights(self) -> None:
        """Names the next version of the weights until it is acknowledged."""
        self.named.newest += 1
        version = self.named.newest
        body = {"model": stand_ins.MODEL, "version": version}
        status = await self._send_until_clear(_post(b"/-/version-put", body))
        if status == _OK:
            self.history.namings.append(
                histories.Naming(version, anyio.current_time())
            )

    async def read(self) -> None:
        """Reads from all registries again and again."""
        while True:
            await self.read_once()
            await anyio.sleep(READ_INTERVAL_S)

    async def read_once(self) -> bool:
        """Reads from one registry; returns whether it gave an answer."""
        sent_s = anyio.current_time()
        name = self.random.choice(tuple(self.registries))
        request = messages.Request(
            b"GET", b"/-/Config.Get", ((b"host", b"soak"),)
        )
        status, body = await self._call(request, name)
        if status != _OK:
            return False
        self.history.reads.append(
            histories.Read(name, sent_s, json.loads(body))
        )
        return True

    async def _send_until_clear(self, request: messages.Request) -> int:
        """Sends to one registry after the other; returns the last status."""
        pause_s = FIRST_BACKOFF_S
        while True:
            status, _ = await self._call(request)
            if status == _OK or status in _FINAL:
                return status
            await anyio.sleep(pause_s * self.random.uniform(0.5, 1.0))
            pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    async def _call(
        self, request: messages.Request, name: str = ""
    ) -> tuple[int, bytes]:
        """Calls a registry, and whom it points to; 0 without an answer."""
        place = self.registries[
            name or self.random.choice(tuple(self.registries))
        ]
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                for _ in range(MAX_REDIRECTS + 1):
                    head, body = await node_site.call(
                        place, request, ANSWER_TIMEOUT_S
                    )
                    if head.status != _REDIRECT:
                        return head.status, body
                    there = head.find(b"location") or ""
                    host = there.removeprefix("http://").partition("/")[0]
                    place = address.parse(host)
        except (exceptions.HttpError, TimeoutError):
            return 0, b""
        return 0, b""


def _post(path: bytes, body: dict[str, typing.Any]) -> messages.Request:
    fields = ((b"host", b"soak"), (b"content-type", b"application/json"))
    return messages.Request(b"POST", path, fields, json.dumps(body).encode())
