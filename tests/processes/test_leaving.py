from __future__ import annotations

import collections.abc
import concurrent.futures
import json
import time

import httpcore
import pytest
from tests.support import site_processes

from cactusstile.console import application
from cactusstile.console import exceptions

pytestmark = pytest.mark.processes

HTTP_OK = 200
MAX_TOKENS = 300
# Prompts of which at least one must reach each engine.
MAX_PROMPTS = 60
PAUSE_S = 0.1


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[site_processes.Site]:
    folder = tmp_path_factory.mktemp("leaving")
    with site_processes.open_site(folder) as opened:
        text = site_processes.fleet_text(opened)
        fleet = opened.write("fleet.ini", text)
        operator = opened.write_operator()
        code = application.run(
            ["apply", str(fleet), "--settings", str(operator)]
        )
        assert code is exceptions.ExitCode.OK
        for name in ("entry-1", "engine-1", "engine-2"):
            opened.wait_ready(name)
        yield opened


def _complete(site: site_processes.Site, prompt: str) -> tuple[int, int]:
    """Requests a completion; returns its status and count of output tokens."""
    port = site.port("entry-1-callers")
    response = httpcore.request(
        "POST",
        f"http://{site.host}:{port}/v1/completions",
        headers={
            "authorization": f"Bearer {site.keys['bank']}",
            "content-type": "application/json",
        },
        content=json.dumps(
            {"model": "chat", "prompt": prompt, "max_tokens": MAX_TOKENS}
        ).encode(),
        extensions={"timeout": {"read": 30.0}},
    )
    if response.status != HTTP_OK:
        return response.status, 0
    usage = json.loads(response.content)["usage"]
    return response.status, usage["completion_tokens"]


def test_drain_command_stops_and_resumes_engine(
    site: site_processes.Site,
) -> None:
    drained = site.run_command("drain", "engine-1", "--wait_s", "5")
    assert drained.returncode == 0, drained.stderr
    assert "leaves" in drained.stdout
    status, _ = site.get("engine-1", "/readyz")
    assert status != HTTP_OK
    undone = site.run_command("drain", "engine-1", "--undo")
    assert "takes work" in undone.stdout
    site.wait_ready("engine-1")
    unknown = site.run_command("drain", "nobody")
    assert unknown.returncode != 0
    assert "nobody" in unknown.stderr


def test_terminated_agent_cuts_off_no_run(site: site_processes.Site) -> None:
    """Guards against an agent that interrupts its runs at SIGTERM."""
    before = json.loads(site.get("engine-1", "/dump")[1])
    assert before["busy"] == 0
    with concurrent.futures.ThreadPoolExecutor(16) as callers:
        futures = [
            callers.submit(_complete, site, f"{number} shot log " * 8)
            for number in range(12)
        ]
        # The entry may place the first prompts elsewhere.
        while json.loads(site.get("engine-1", "/dump")[1])["busy"] == 0:
            assert len(futures) < MAX_PROMPTS
            time.sleep(PAUSE_S)
            prompt = f"{len(futures)} shot log " * 8
            futures.append(callers.submit(_complete, site, prompt))
        assert site.stop("engine-1") == 0
        futures += [
            callers.submit(_complete, site, f"{number} after")
            for number in range(4)
        ]
        completions = [future.result() for future in futures]
    assert completions == [(HTTP_OK, MAX_TOKENS)] * len(futures)
