"""Dialect of engines with an OpenAI-style API and KV block endpoints."""

from __future__ import annotations

import json
import typing

from cactusstile.http import events as http_events
from cactusstile.targets import engine
from cactusstile.targets import http

if typing.TYPE_CHECKING:
    import collections.abc

_JSON = (("Content-Type", "application/json"),)
_DONE = b"[DONE]"


def _post(path: str, body: object) -> http.Request:
    data = json.dumps(body, separators=(",", ":")).encode()
    return http.Request("POST", path, data, _JSON)


def _complete(prompt: engine.Prompt) -> http.Request:
    return _post(
        "/v1/completions",
        {
            "model": prompt.model,
            "deployment": prompt.deployment,
            "request_id": prompt.request_id,
            "prompt": prompt.tokens,
            "max_tokens": prompt.max_tokens,
            "priority": prompt.priority,
            "user": prompt.scope.workspace,
            "adapter": prompt.scope.adapter,
            "cache_scope": prompt.scope,
            "stream": True,
        },
    )


def _resume(request_id: str, next_index: int) -> http.Request:
    path = f"/v1/completions/{request_id}/stream?from={next_index}"
    return http.Request("GET", path)


def _cancel(request_id: str) -> http.Request:
    return _post(f"/v1/completions/{request_id}/cancel", {})


def _status() -> http.Request:
    return http.Request("GET", "/status")


def _order(order: engine.Order) -> http.Request:
    body = {"fence": order.fence, "kind": order.kind, "value": order.value}
    return _post("/orders", body)


def _lookup(keys: collections.abc.Sequence[bytes]) -> http.Request:
    return _post("/kv/lookup", {"keys": [key.hex() for key in keys]})


def _read(places: collections.abc.Sequence[engine.BlockRef]) -> http.Request:
    return _post("/kv/read", {"slots": [place.slot for place in places]})


def _write(
    keys: collections.abc.Sequence[bytes],
    contents: collections.abc.Sequence[bytes],
) -> http.Request:
    names = ",".join(key.hex() for key in keys)
    headers = (("X-Keys", names),)
    return http.Request("POST", "/kv/write", b"".join(contents), headers)


def _parse_event(event: bytes) -> list[engine.Event]:
    data = http_events.find_data(event)
    if data is None or data.strip() == _DONE:
        return []
    body = json.loads(data)
    if not body["choices"]:
        cached_tokens = int(body["usage"]["cached_tokens"])
        return [engine.Started(str(body["system_fingerprint"]), cached_tokens)]
    choice = body["choices"][0]
    index = int(choice["first_token_index"])
    token_ids = tuple(int(token) for token in choice["token_ids"])
    events: list[engine.Event] = []
    if token_ids:
        events.append(engine.Output(index, token_ids, str(choice["text"])))
    if choice["finish_reason"]:
        count = index + len(token_ids)
        events.append(engine.Finished(count, str(choice["finish_reason"])))
    return events


def _parse_status(data: bytes) -> engine.Status:
    body = json.loads(data)
    return engine.Status(
        str(body["model"]),
        str(body["version"]),
        tuple(str(adapter) for adapter in body["adapters"]),
        str(body["role"]),
        int(body["slots"]),
        int(body["block_bytes"]),
        int(body["loading"]),
    )


def _parse_lookup(data: bytes) -> list[engine.BlockRef]:
    blocks = json.loads(data)["blocks"]
    return [
        engine.BlockRef(int(slot), int(generation))
        for slot, generation in blocks
    ]


DIALECT = engine.Dialect(
    complete=_complete,
    resume=_resume,
    cancel=_cancel,
    status=_status,
    order=_order,
    lookup=_lookup,
    read=_read,
    write=_write,
    parse_event=_parse_event,
    parse_status=_parse_status,
    parse_lookup=_parse_lookup,
)
