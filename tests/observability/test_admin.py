from __future__ import annotations

import io
import json
import logging

import pytest
from tests.entry import support

from cactusstile.observability import logs

pytestmark = pytest.mark.anyio


async def _get(site: support.Site, path: str) -> bytes:
    url = f"http://{site.entry.admin.bound}{path}"
    response = await site.http.request("GET", url)
    assert response.status == 200
    return response.content


async def test_metrics_and_dump_count_requests_without_their_text(
    site: support.Site,
) -> None:
    site.agents[0].leaving = True
    await site.complete()
    site.agents[0].leaving = False
    await site.complete()
    metrics = (await _get(site, "/metrics")).decode()
    dump = await _get(site, "/dump")
    refusals = 'refusals_total{reason="target_leaving",verdict="not_run"} 1.0'
    assert f"cactusstile_entry_{refusals}" in metrics
    assert "cactusstile_entry_output_tokens_total 8.0" in metrics
    assert json.loads(dump)["revision"] == 1
    for confidential in ("key-of-bank", "hello", support.expected_text()):
        assert confidential not in metrics
        assert confidential.encode() not in dump


async def test_metrics_and_dump_are_not_served_to_callers(
    site: support.Site,
) -> None:
    for path in ("/metrics", "/dump"):
        response = await site.http.request("GET", site.url + path)
        assert response.status == 400


def test_log_line_is_json_with_role_and_process() -> None:
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.build_formatter("entry", "entry-1"))
    record = logging.LogRecord("m", logging.INFO, "", 0, "n %d", (1,), None)
    handler.emit(record)
    line = json.loads(stream.getvalue())
    assert line["message"] == "n 1"
    assert (line["role"], line["process"]) == ("entry", "entry-1")
    assert (line["level"], line["logger"]) == ("INFO", "m")
