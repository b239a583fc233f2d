"""A stand-in of a model worker that streams events and caches prompt parts."""

from __future__ import annotations

import asyncio
import secrets
import typing

import worker

if typing.TYPE_CHECKING:
    import http11
    import small_site

MODEL = "m-review"


class Engine(worker.Worker):
    """A model worker.

    Attributes:
      line_end: How it ends the lines of its events.
      events: Number of events of an answer.
      pause_s: Time between two events.
      cache: Tenant whose request made a part, by salt and part.
      used: Parts that requests found in the cache: the id and the tenant of
        the request, the part, and the tenant whose request made it.
    """

    def __init__(
        self,
        site: small_site.Site,
        service: str,
        *,
        events: int = 5,
        pause_s: float = 0.02,
        line_end: str = "\n",
    ) -> None:
        super().__init__(site, service)
        self.models = [{"name": MODEL, "version": 1, "adapters": []}]
        self.events = events
        self.pause_s = pause_s
        self.line_end = line_end
        self.cache: dict[tuple[str, str], str] = {}
        self.used: list[tuple[str, str, str, str]] = []

    def _find_parts(self, request: http11.Message) -> None:
        """Uses the leading parts that are cached, and caches the others."""
        salt = request.find("x-cactusstile-cache-salt")
        tenant = request.find("x-cactusstile-tenant")
        attempt = request.find("x-cactusstile-attempt-id")
        parts = request.find("x-cactusstile-prompt-prefix").split(",")
        names = [part.partition(":")[0] for part in parts]
        is_cached = True
        for name in names:
            maker = self.cache.get((salt, name))
            is_cached = is_cached and maker is not None
            if is_cached and maker is not None:
                self.used.append((attempt, tenant, name, maker))
                self.note(
                    f"{attempt} of {tenant} goes on from part {name}, which a"
                    f" request of {maker} made (salt {salt})"
                )
                continue
            self.cache[salt, name] = tenant

    async def answer(
        self,
        request: http11.Message,
        writer: asyncio.StreamWriter,
        own: dict[str, str],
    ) -> bool:
        """Streams the events after the one that the request names."""
        self._find_parts(request)
        first = int(request.find("last-event-id") or "0") + 1
        head = {
            **own,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Cactusstile-Weight-Versions": "1",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        end = self.line_end
        for number in range(first, self.events + 1):
            event = f"id: {number}{end}data: token-{number}{end}{end}".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def service(name: str) -> dict[str, typing.Any]:
    """Returns the configuration of a service of model workers."""
    return {
        "name": name,
        "healthCheck": "/healthz",
        "maxConnections": 370,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 48,
            "kvCapacity": 43407,
            "kvTokenBytes": 163840,
            "linkMbps": 2200000.0,
            "moves": False,
            "backups": False,
            "managed": False,
            "stride": 6,
            "maxInflight": 12,
            "models": [{"name": MODEL}],
        },
    }


def route(host: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Returns the configuration of a streaming route that may be resumed."""
    return {
        "name": "r-draft",
        "host": host,
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "timeoutMs": 20000,
        "targetLatencyMs": 600,
        "targetGapMs": 300,
        "priority": 1,
        "maxAttempts": 3,
        "public": False,
        "sticky": True,
        "resumable": True,
        **fields,
    }


def prompt_headers(
    host: str, key: str, shared_part: str
) -> tuple[str, dict[str, str]]:
    """Returns the id and the header fields of a new prompt."""
    attempt = secrets.token_hex(8)
    own_part = secrets.token_hex(4)
    return attempt, {
        "Host": host,
        "X-Cactusstile-Attempt-Id": attempt,
        "X-Cactusstile-Model": MODEL,
        "X-Cactusstile-Token-Usage": "850,50",
        "X-Cactusstile-Prompt-Prefix": f"{shared_part}:800,{own_part}:50",
        "X-Cactusstile-Deadline-Ms": "12000",
        "X-Cactusstile-Key": key,
    }
