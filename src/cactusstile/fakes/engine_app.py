"""HTTP interface of the fake engine."""

from __future__ import annotations

import json
import typing

import anyio
from starlette import applications
from starlette import responses
from starlette import routing

from cactusstile import tokens
from cactusstile.fakes import engine
from cactusstile.fakes import engine_stream
from cactusstile.fakes import oracle
from cactusstile.fakes import serving

if typing.TYPE_CHECKING:
    import collections.abc

    from starlette import requests

EVENT_STREAM_TYPE = "text/event-stream"
LOAD_SAMPLE_INTERVAL_S = 0.1
MAX_LOAD_SAMPLES = 200


def build_app(served: engine.Engine) -> applications.Starlette:
    """Returns the ASGI application of an engine."""
    handlers = _Handlers(served)
    route = routing.Route
    return applications.Starlette(
        routes=[
            route("/v1/completions", handlers.complete, methods=["POST"]),
            route("/v1/completions/{id}/stream", handlers.resume),
            route(
                "/v1/completions/{id}/cancel",
                handlers.cancel,
                methods=["POST"],
            ),
            route("/status", handlers.status),
            route("/load", handlers.load),
            route("/orders", handlers.order, methods=["POST"]),
            route("/kv/lookup", handlers.lookup, methods=["POST"]),
            route("/kv/read", handlers.read, methods=["POST"]),
            route("/kv/write", handlers.write, methods=["POST"]),
            route("/kv/events", handlers.events),
        ]
    )


def _build_error(status: int, text: str) -> responses.JSONResponse:
    return responses.JSONResponse({"error": text}, status)


class _Handlers:
    def __init__(self, served: engine.Engine) -> None:
        self.engine = served

    async def complete(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        if body["model"] != self.engine.model:
            return _build_error(404, f"model {body['model']} is not loaded")
        adapter = body.get("adapter", "")
        if adapter and adapter not in self.engine.adapters:
            return _build_error(404, f"adapter {adapter} is not loaded")
        submission = engine_stream.Submission(
            body["request_id"],
            body["user"],
            body["deployment"],
            adapter,
            tokens.Scope(*body["cache_scope"]),
            tuple(body["prompt"]),
            body["max_tokens"],
            body.get("priority", 0),
        )
        stream = self.engine.submit(submission)
        return self._build_stream_response(stream, 0)

    async def resume(self, request: requests.Request) -> responses.Response:
        stream = self.engine.streams.get(request.path_params["id"])
        if stream is None:
            return _build_error(404, "no such stream")
        return self._build_stream_response(
            stream, int(request.query_params["from"])
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        stream = self.engine.streams.get(request.path_params["id"])
        if stream is None:
            return _build_error(404, "no such stream")
        stream.scope.cancel()
        return responses.JSONResponse({"cancelled": stream.state != "done"})

    async def status(self, _: requests.Request) -> responses.Response:
        served = self.engine
        return responses.JSONResponse(
            {
                "model": served.model,
                "version": served.version,
                "adapters": sorted(served.adapters),
                "role": served.role,
                "fence": served.fence,
                "slots": served.settings.slots,
                "block_bytes": served.settings.block_bytes,
                "loading": served.loading,
            }
        )

    async def load(self, _: requests.Request) -> responses.Response:
        """Returns the latest load sample older than the configured lag."""
        served = self.engine
        now_s = anyio.current_time()
        served.load_samples.append(
            (now_s, served.slots.running, served.slots.waiting)
        )
        del served.load_samples[:-MAX_LOAD_SAMPLES]
        visible_s = now_s - served.settings.load_lag_s
        running, waiting = 0, 0
        for sample_s, sample_running, sample_waiting in served.load_samples:
            if sample_s > visible_s:
                break
            running, waiting = sample_running, sample_waiting
        return responses.JSONResponse({"running": running, "waiting": waiting})

    async def order(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        order = (body["fence"], body["kind"], body["value"])
        if self.engine.order_answers_to_drop:
            self.engine.order_answers_to_drop -= 1
            self.engine.apply_order_later(*order)
            return serving.cut_off()
        try:
            await self.engine.apply_order(*order)
        except engine.OldFenceError as error:
            return _build_error(409, str(error))
        except engine.LoadFailedError as error:
            return _build_error(503, str(error))
        return responses.JSONResponse({"version": self.engine.version})

    async def lookup(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        cache = self.engine.cache
        indexes = cache.find_prefix(bytes.fromhex(key) for key in body["keys"])
        blocks = [[index, cache.slots[index].generation] for index in indexes]
        return responses.JSONResponse({"blocks": blocks})

    async def read(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        return responses.StreamingResponse(
            self._read_blocks(body["slots"]),
            media_type="application/octet-stream",
        )

    async def _read_blocks(
        self, indexes: list[int]
    ) -> collections.abc.AsyncIterator[bytes]:
        for index in indexes:
            await self.engine.sleep(self.engine.settings.block_read_s)
            content = self.engine.cache.read(index)
            if self.engine.reads_to_truncate:
                self.engine.reads_to_truncate -= 1
                content = content[: len(content) // 2]
            yield content

    async def write(self, request: requests.Request) -> responses.Response:
        """Stores blocks without verifying their keys or content."""
        cache = self.engine.cache
        keys = request.headers["x-keys"].split(",")
        body = await request.body()
        size = cache.block_bytes
        written = 0
        for position, key in enumerate(keys):
            content = body[position * size : (position + 1) * size]
            index = cache.allocate(bytes.fromhex(key))
            if index is None:
                continue
            cache.seal(index, b"", content.ljust(size, b"\0"))
            written += 1
        self.engine.imported_blocks += written
        return responses.JSONResponse({"written": written})

    async def events(self, request: requests.Request) -> responses.Response:
        """Returns events after a sequence number, with lag and gaps."""
        after = int(request.query_params["after"])
        settings = self.engine.settings
        visible_s = anyio.current_time() - settings.event_lag_s
        visible_events = []
        for event in self.engine.cache.events:
            if event.sequence <= after or event.time_s > visible_s:
                continue
            if settings.event_gap and event.sequence % settings.event_gap == 0:
                continue
            visible_events.append([event.sequence, event.kind, event.key.hex()])
        return responses.JSONResponse({"events": visible_events})

    def _build_stream_response(
        self, stream: engine_stream.Stream, first: int
    ) -> responses.StreamingResponse:
        events = _encode_stream(stream, first)
        if self.engine.breaks:
            events = _interrupt(events, self.engine.breaks.pop(0))
        elif self.engine.truncations:
            events = _truncate(events, self.engine.truncations.pop(0))
        return responses.StreamingResponse(events, media_type=EVENT_STREAM_TYPE)


async def _interrupt(
    events: collections.abc.AsyncIterator[str], count: int
) -> collections.abc.AsyncIterator[str]:
    """Forwards `count` events, then aborts the connection."""
    async for event in events:
        if not count:
            raise serving.InjectedDisconnectError(
                "stream interrupted by fault injection"
            )
        count -= 1
        yield event


async def _truncate(
    events: collections.abc.AsyncIterator[str], count: int
) -> collections.abc.AsyncIterator[str]:
    """Forwards `count` events, then ends the answer as if complete."""
    async for event in events:
        if not count:
            return
        count -= 1
        yield event


async def _encode_stream(
    stream: engine_stream.Stream, first: int
) -> collections.abc.AsyncIterator[str]:
    while stream.state == "waiting":
        await stream.wait()
    yield _encode_event(
        {
            "id": stream.submission.request_id,
            "system_fingerprint": stream.version,
            "usage": {"cached_tokens": stream.cached_tokens},
            "choices": [],
        }
    )
    sent = first
    while True:
        batch = stream.output[sent:]
        if batch:
            yield _encode_event(_chunk(sent, batch))
            sent += len(batch)
            continue
        if stream.state in ("done", "cancelled"):
            break
        await stream.wait()
    reason = "length" if stream.state == "done" else "cancelled"
    final = _chunk(sent, [])
    final["choices"][0]["finish_reason"] = reason
    yield _encode_event(final)
    yield "data: [DONE]\n\n"


def _encode_event(body: dict[str, typing.Any]) -> str:
    return f"data: {json.dumps(body, separators=(',', ':'))}\n\n"


def _chunk(index: int, batch: list[int]) -> dict[str, typing.Any]:
    choice = {
        "index": 0,
        "first_token_index": index,
        "token_ids": batch,
        "text": oracle.detokenize(batch),
        "finish_reason": None,
    }
    return {"choices": [choice]}
