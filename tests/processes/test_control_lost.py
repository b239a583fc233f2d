from __future__ import annotations

import collections.abc
import json
import signal
import time

import httpcore
import pytest
from tests.support import site_processes

pytestmark = pytest.mark.processes

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
MAX_REFUSAL_S = 1.0
RECOVERY_TIMEOUT_S = 10.0
CONTROL_NAMES = ("control-1", "control-2", "control-3")


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[site_processes.Site]:
    folder = tmp_path_factory.mktemp("control-lost")
    with site_processes.open_site(folder) as opened:
        opened.write("fleet.ini", site_processes.fleet_text(opened))
        opened.write_operator()
        applied = opened.run_command("apply", "fleet.ini", "--wait")
        assert applied.returncode == 0, applied.stderr
        for name in ("entry-1", "engine-1", "engine-2", "service-1"):
            opened.wait_ready(name)
        yield opened


def _post(
    site: site_processes.Site, path: str, body: object, key: str
) -> httpcore.Response:
    port = site.port("entry-1-callers")
    return httpcore.request(
        "POST",
        f"http://{site.host}:{port}{path}",
        headers={
            "authorization": f"Bearer {site.keys['bank']}",
            "content-type": "application/json",
            "idempotency-key": key,
        },
        content=json.dumps(body).encode(),
        extensions={"timeout": {"read": 30.0}},
    )


def _order(site: site_processes.Site, key: str) -> httpcore.Response:
    return _post(site, "/services/inventory/orders", {"part": 7}, key)


def _count_runs(site: site_processes.Site, key: str) -> int:
    runs = json.loads((site.folder / "service-1-ledger.json").read_text())
    return sum(run == ["bank", f"c:{key}"] for run in runs)


def test_requests_are_served_or_refused_at_once_while_control_is_lost(
    site: site_processes.Site,
) -> None:
    """Guards against requests that hang while no control process responds.

    Prompts are served. Service calls are refused at once with Retry-After,
    and run once after control resumes.
    """
    assert _order(site, "before").status == HTTP_OK
    for name in CONTROL_NAMES:
        site.processes[name].send_signal(signal.SIGSTOP)
    try:
        first = _order(site, "lost-0")
        assert first.status == HTTP_UNAVAILABLE
        for number in (1, 2, 3):
            body = {"model": "chat", "prompt": "scan", "max_tokens": 8}
            served = _post(site, "/v1/completions", body, f"p{number}")
            assert served.status == HTTP_OK
            started_s = time.monotonic()
            refused = _order(site, f"lost-{number}")
            assert time.monotonic() - started_s < MAX_REFUSAL_S
            assert refused.status == HTTP_UNAVAILABLE
            names = [name.lower() for name, _ in refused.headers]
            assert b"retry-after" in names
            time.sleep(0.3)
    finally:
        for name in CONTROL_NAMES:
            site.processes[name].send_signal(signal.SIGCONT)
    deadline_s = time.monotonic() + RECOVERY_TIMEOUT_S
    while _order(site, "lost-3").status != HTTP_OK:
        assert time.monotonic() < deadline_s
        time.sleep(0.1)
    assert _order(site, "before").status == HTTP_OK
    site.stop("service-1-target")
    assert [_count_runs(site, key) for key in ("before", "lost-3")] == [1, 1]
