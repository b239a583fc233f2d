"""A verdict site of many gateways in several data centres, and its callers.

Three registries, services that change, and callers that keep their connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import time
import typing

import attrs
from tests.support import verdict_site

REGISTRIES = (2, 3, 4)
FIRST_GATEWAY = 10
ZONES = ("here", "there", "yonder")
ROUTES = {
    "read": "idempotent",
    "write": "non_idempotent",
    "flip": "non_idempotent",
    "move": "non_idempotent",
    "talk": "streaming",
    "draft": "streaming",
}
SHARES = (0.1, 0.25, 0.15, 0.15, 0.3, 0.05)
ONCE = ("write", "move", "talk")
BODY_SIZES = (0, 9_000, 150_000)
BODY_SHARES = (0.4, 0.5, 0.1)
MAX_PATIENCE_S = 8.0
QUOTA_S = 0.1
# Part of that time in which a starved gateway runs.
RUN_FRACTIONS = (0.15, 0.6)


@attrs.define(eq=False)
class WideSite(verdict_site.VerdictSite):
    """A site of many gateways.

    Attributes:
      gateways: Numbers of the gateways.
      version: Newest version of the configuration that was sent.
      weights: Newest version of the engines' weights.
    """

    gateways: list[int] = attrs.field(factory=list)
    version: int = 0
    weights: int = 1

    def seeds(self) -> str:
        """Returns the operator addresses of the registries."""
        return ",".join(
            f"{self.network}.{number}:{self.port + verdict_site.OPERATOR}"
            for number in REGISTRIES
        )

    def zone_of(self, number: int) -> str:
        """Returns the data centre of an address."""
        return ZONES[number % len(ZONES)]

    def document(self) -> dict[str, typing.Any]:
        """Returns the next configuration, which differs at random."""
        self.version += 1
        found = verdict_site.document()
        found["version"] = self.version
        found["services"].append(found["services"][0] | {"name": "other"})
        template = found["routes"][0]
        found["routes"] = [
            self._route(template, name, kind) for name, kind in ROUTES.items()
        ]
        found["limits"] = verdict_site.LIMITS | {
            "idleTimeoutMs": self.random.choice((1000, 15000))
        }
        return found

    def _route(
        self, template: dict[str, typing.Any], name: str, kind: str
    ) -> dict[str, typing.Any]:
        choose = self.random.choice
        service = "engine" if kind == "streaming" else "plain"
        if name == "flip":
            kind = choose(("idempotent", "non_idempotent"))
        if name == "move":
            service = choose(("plain", "other"))
        return template | {
            "name": name,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": choose((800, 2500, 6000)),
            "service": service,
            "maxAttempts": choose((1, 2, 3)),
            "sticky": service == "engine",
            "resumable": name == "draft",
        }

    async def configure(self) -> None:
        """Sends a configuration until a registry accepts it."""
        body = json.dumps(self.document()).encode()
        head = "POST /-/Config.Replace HTTP/1.1\r\nHost: operator\r\n"
        async with asyncio.timeout(verdict_site.START_LIMIT_S):
            while True:
                for number in REGISTRIES:
                    if (
                        await self.ask(
                            number, verdict_site.OPERATOR, head, body
                        )
                        == 200
                    ):
                        return
                await asyncio.sleep(0.1)

    async def bump_weights(self) -> None:
        """Gives the engines new weights, one after the other."""
        self.weights += 1
        for target in self.targets:
            if target.service == "engine":
                target.weights = self.weights
                target.command(f"weights {self.weights}")
                await asyncio.sleep(self.random.uniform(0, 0.3))

    def signal(self, number: int, what: signal.Signals) -> None:
        """Sends a signal to a gateway, if it runs."""
        process = self.processes[f"gateway-{number}"]
        if process.poll() is None:
            process.send_signal(what)

    async def starve(self, number: int, end_s: float) -> None:
        """Lets a gateway run only in a part of each tenth of a second."""
        while time.monotonic() < end_s:
            run_s = QUOTA_S * self.random.uniform(*RUN_FRACTIONS)
            await asyncio.sleep(run_s)
            self.signal(number, signal.SIGSTOP)
            await asyncio.sleep(QUOTA_S - run_s)
            self.signal(number, signal.SIGCONT)


@attrs.define(eq=False)
class WideCaller:
    """A caller that keeps its connection as long as it can.

    Attributes:
      site: The site.
      name: Prefix of its request ids.
      count: Number of the request.
      gateway: Gateway of its connection.
      reader: Reads from the connection; None without one.
      writer: Writes to it.
      returning: Fraction of promises after which it returns with the same id.
      body_sizes: Sizes of the bodies, with the shares of `BODY_SHARES`.
    """

    site: WideSite
    name: str
    count: int = 0
    gateway: int = 0
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    returning: float = 0.0
    body_sizes: tuple[int, ...] = BODY_SIZES

    async def run(self, end_s: float) -> None:
        """Sends requests until `end_s`."""
        choose = self.site.random
        while time.monotonic() < end_s:
            patience_s = MAX_PATIENCE_S
            if choose.random() < 0.05:
                patience_s = choose.uniform(0.01, 1.0)
            try:
                async with asyncio.timeout(patience_s):
                    is_kept = await self._ask()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                is_kept = False
            is_again = self._returns()
            if not is_again:
                self.count += 1
            if not is_kept or choose.random() < 0.1:
                self.leave()
            await asyncio.sleep(choose.uniform(0.05, 0.5) * (not is_again))
        self.leave()

    def _returns(self) -> bool:
        """Returns whether the same request comes again at once."""
        last = self.site.outcomes.get(f"{self.name}-{self.count}")
        if last is None or last.status not in verdict_site.PROMISES:
            return False
        return self.site.random.random() < self.returning

    def leave(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _ask(self) -> bool:
        """Sends a request; returns whether the connection stays open."""
        if self.reader is None or self.writer is None:
            self.gateway = self.site.random.choice(self.site.gateways)
            self.reader, self.writer = await asyncio.open_connection(
                f"{self.site.network}.{self.gateway}",
                self.site.port + verdict_site.FRONT,
            )
        attempt = f"{self.name}-{self.count}"
        route = self.site.random.choices(list(ROUTES), SHARES)[0]
        if attempt in self.site.outcomes:
            route = self.site.outcomes[attempt].route
        outcome = verdict_site.Outcome(route, self.gateway, time.monotonic())
        self.site.outcomes[attempt] = outcome
        self.writer.write(self._request(route, attempt))
        line = (await self.reader.readline()).split()
        outcome.status = int(line[1]) if line else 0
        return bool(line) and await _read_answer(self.reader)

    def _request(self, route: str, attempt: str) -> bytes:
        choose = self.site.random
        body = b"x" * choose.choices(self.body_sizes, BODY_SHARES)[0]
        deadline_ms = choose.choice((400, 1500, 5000))
        head = (
            f"POST /{route}/x HTTP/1.1\r\nHost: {verdict_site.HOST}\r\n"
            f"X-Cactusstile-Attempt-Id: {attempt}\r\n"
            f"X-Cactusstile-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if ROUTES[route] == "streaming":
            tokens = choose.randint(20, 130)
            part = f"{choose.randrange(1 << 30):x}"
            head += (
                "X-Cactusstile-Model: m\r\n"
                f"X-Cactusstile-Token-Usage: 100,{tokens}\r\n"
                f"X-Cactusstile-Prompt-Prefix: ab:60,{part}:40\r\n"
                f"X-Cactusstile-Length-Hint: {tokens}\r\n"
            )
        return head.encode() + b"\r\n" + body


async def _read_answer(reader: asyncio.StreamReader) -> bool:
    """Reads the rest of an answer; returns whether another one may follow."""
    fields = {}
    while (field := (await reader.readline()).decode().strip()) != "":
        name, _, value = field.partition(":")
        fields[name.lower()] = value.strip().lower()
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    else:
        while size := int((await reader.readline()) or b"0", 16):
            await reader.readexactly(size + 2)
        await reader.readline()
    return fields.get("connection") != "close" and not reader.at_eof()


@contextlib.asynccontextmanager
async def open_site(
    site: WideSite, services: typing.Sequence[str], gateway_count: int
) -> typing.AsyncIterator[WideSite]:
    """Starts a site and applies a configuration; kills all on exit."""
    server = await asyncio.start_server(
        site.answer_list, f"{site.network}.1", site.port + verdict_site.LIST
    )
    for number, service in enumerate(services):
        site.targets.append(verdict_site.TargetProcess(100 + number, service))
    last = FIRST_GATEWAY + gateway_count
    site.gateways = list(range(FIRST_GATEWAY, last))
    try:
        for target in site.targets:
            site.start_target(target, new_id=True)
        for number in REGISTRIES:
            site.start("registry", number, first=True)
        for number in site.gateways:
            site.start("gateway", number, first=True)
        await site.configure()
        await _wait_until_ready(site)
        yield site
    finally:
        server.close()
        started = [target.process for target in site.targets]
        for process in [*site.processes.values(), *started]:
            if process is not None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
                process.wait()


async def _wait_until_ready(site: WideSite) -> None:
    head = "GET /-/readyz HTTP/1.1\r\nHost: balancer\r\n"
    async with asyncio.timeout(2 * verdict_site.START_LIMIT_S):
        for number in site.gateways:
            while await site.ask(number, verdict_site.READINESS, head) != 200:
                await asyncio.sleep(0.1)
