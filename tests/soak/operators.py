"""Operators of the soak, which send and read configurations concurrently."""

from __future__ import annotations

import copy
import functools
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

CALL_TIMEOUT_S = 1.0
# Time after which a gateway ends what is still under way.
ROUTE_TIMEOUT_S = 4.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_REDIRECTS = 2
READ_INTERVAL_S = 0.15
# Number of successive versions that share a temporary key.
VERSIONS_PER_KEY = 4
MOVED_PATH = "/moved/"
# Routes that come and go: each has so many successors before it is dropped.
TURN_PREFIX = "/turn/"
TURNS = 8
_FIRST_TURN = 1000
_OK = 200
_REDIRECT = 307
_FINAL_STATUSES = (400, 409, 412, 413, 422)
_ROUTES = (
    ("read", "/read/", "idempotent", ("plain",)),
    ("write", "/write/", "non_idempotent", ("plain",)),
    ("talk", "/talk/", "streaming", (stand_ins.ENGINE,)),
    ("draft", "/draft/", "streaming", (stand_ins.ENGINE,)),
    ("long", "/long/", "streaming", (stand_ins.ENGINE,)),
)
WORKSPACES = {"bank": "key-of-bank", "clinic": "key-of-clinic"}
SERVICES = ("plain", "other", stand_ins.ENGINE)


def moved_service(version: int) -> str:
    """Returns the service that `/moved/` is routed to in a version."""
    return "plain" if version % 2 else "other"


def temporary_key(version: int) -> str:
    """Returns the temporary key of a version, which later versions revoke."""
    return f"key-from-{version // VERSIONS_PER_KEY}"


def newest_turn(version: int) -> int:
    """Returns the newest of the routes that come and go in a version."""
    return _FIRST_TURN + version // VERSIONS_PER_KEY


def turn_path(number: int) -> str:
    """Returns the path of a route that comes and goes."""
    return f"{TURN_PREFIX}{number}/"


def is_permanent(path: str, key: str) -> bool:
    """Returns whether all versions know a route and a key."""
    return key in WORKSPACES.values() and not path.startswith(TURN_PREFIX)


def may_change(path: str, key: str) -> bool:
    """Returns whether versions treat a request differently."""
    return path == MOVED_PATH or not is_permanent(path, key)


@functools.cache
def service_of(version: int, path: str, key: str) -> str | None:
    """Returns the service to which a version sends a request.

    None if it does not know the route or the key.
    """
    content = document(version)
    keys = {key for tenant in content["tenants"] for key in tenant["apiKeys"]}
    for route in content["routes"]:
        if key in keys and route["pathPrefix"] == path:
            return str(route["trafficSplit"][0]["service"])
    return None


@functools.cache
def document(version: int) -> dict[str, typing.Any]:
    """Returns the configuration of a version."""
    moved = ("moved", MOVED_PATH, "idempotent", (moved_service(version),))
    newest = newest_turn(version)
    turns = [
        (f"turn-{number}", turn_path(number), "non_idempotent", ("plain",))
        for number in range(newest - TURNS + 1, newest + 1)
    ]
    tenants: list[dict[str, typing.Any]] = [
        {"name": name, "apiKeys": [key], "isolated": name == "clinic"}
        for name, key in WORKSPACES.items()
    ]
    tenants.append({"name": "passing", "apiKeys": [temporary_key(version)]})
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": [_route(*route) for route in (*_ROUTES, moved, *turns)],
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
        "timeoutMs": int(ROUTE_TIMEOUT_S * 1000),
        "targetLatencyMs": 600,
        "priority": 1,
        "trafficSplit": [
            {"service": service, "weight": 1} for service in services
        ],
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": name == "talk",
        "targetGapMs": 300,
    }


def _services() -> list[dict[str, typing.Any]]:
    services: list[dict[str, typing.Any]] = [
        {"name": one, "healthCheck": "/healthz", "maxConnections": 300}
        for one in SERVICES
    ]
    services[-1]["engine"] = {
        "slots": stand_ins.SLOTS,
        "kvCapacity": 100_000,
        "kvTokenBytes": 1000,
        "backups": True,
        "models": [{"name": stand_ins.MODEL}],
    }
    return services


def invalid_document(version: int, which: int) -> dict[str, typing.Any]:
    """Returns an invalid configuration, one of four by `which`."""
    invalid = copy.deepcopy(document(version))
    route = invalid["routes"][0]
    if which == 0:
        route["timeoutMs"] = 0
    elif which == 1:
        route["trafficSplit"] = [{"service": "absent", "weight": 1}]
    elif which == 2:
        invalid["routes"].append(dict(route))
    else:
        invalid["tenants"][1]["apiKeys"] = invalid["tenants"][0]["apiKeys"]
    return invalid


@attrs.define
class Operators:
    """The operators of one run.

    Attributes:
      registries: Operator addresses by process.
      history: Records their calls.
      random: Draws their actions.
      named_weights: Weights that were named.
      version: Highest configuration version sent so far.
      stopped: Whether they send no further changes.
    """

    registries: dict[str, address.Address]
    history: histories.History
    random: random.Random
    named_weights: stand_ins.Weights
    version: int = 0
    stopped: bool = False

    async def change(self, pause_s: float) -> None:
        """Sends changes one after the other until stopped."""
        while not self.stopped:
            if self.random.random() < 0.1:
                await self._send_invalid()
            await self.make_change()
            await anyio.sleep(self.random.expovariate(1 / pause_s))

    async def make_change(self) -> None:
        """Sends a new version until it is acknowledged or refused."""
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
        """Names the next version of the weights; retries until answered."""
        self.named_weights.newest += 1
        version = self.named_weights.newest
        body = {"model": stand_ins.MODEL, "version": version}
        status = await self._send_until_clear(_post(b"/-/version-put", body))
        if status == _OK:
            self.history.namings.append(
                histories.WeightsNaming(version, anyio.current_time())
            )

    async def evacuate(self, data_centre: str, duration_s: float) -> None:
        """Evacuates a data centre and takes it back."""
        path = f"/-/Evacuations.Start/{data_centre}".encode()
        if await self._send_until_clear(_post(path, {})) != _OK:
            return
        evacuation = histories.Evacuation(data_centre, anyio.current_time())
        self.history.evacuations.append(evacuation)
        await anyio.sleep(duration_s)
        evacuation.ended_s = anyio.current_time()
        path = f"/-/Evacuations.Finish/{data_centre}".encode()
        await self._send_until_clear(_post(path, {}))

    async def read(self) -> None:
        """Reads from random registries until cancelled."""
        while True:
            await self.read_once()
            await anyio.sleep(READ_INTERVAL_S)

    async def read_once(self) -> bool:
        """Reads from a random registry; returns whether it succeeded."""
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
        """Retries at random registries until accepted or finally refused.

        Returns:
          The last status.
        """
        pause_s = FIRST_BACKOFF_S
        while True:
            status, _ = await self._call(request)
            if status == _OK or status in _FINAL_STATUSES:
                return status
            await anyio.sleep(pause_s * self.random.uniform(0.5, 1.0))
            pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    async def _call(
        self, request: messages.Request, name: str = ""
    ) -> tuple[int, bytes]:
        """Calls a registry and follows redirects.

        Args:
          request: The request.
          name: Name of the registry; empty for a random one.

        Returns:
          Status and body of the answer; the status is 0 without one.
        """
        registry_address = self.registries[
            name or self.random.choice(tuple(self.registries))
        ]
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                for _ in range(MAX_REDIRECTS + 1):
                    head, body = await node_site.call(
                        registry_address, request, CALL_TIMEOUT_S
                    )
                    if head.status != _REDIRECT:
                        return head.status, body
                    location = head.find(b"location") or ""
                    host = location.removeprefix("http://").partition("/")[0]
                    registry_address = address.parse(host)
        except (exceptions.HttpError, TimeoutError):
            return 0, b""
        return 0, b""


def _post(path: bytes, body: dict[str, typing.Any]) -> messages.Request:
    fields = ((b"host", b"soak"), (b"content-type", b"application/json"))
    return messages.Request(b"POST", path, fields, json.dumps(body).encode())
