from __future__ import annotations

import collections.abc
import json
import pathlib
import signal
import time
import typing

import anyio
import httpcore
import openai
import pytest
from tests.support import site_processes

from cactusstile.control import client
from cactusstile.control import messages
from cactusstile.state import fleet_file
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

pytestmark = pytest.mark.processes

PROMPT = "\n".join(f"asset {number}: in rack" for number in range(60))


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[site_processes.Site]:
    folder = tmp_path_factory.mktemp("site")
    with site_processes.open_site(folder) as opened:
        fleet = site_processes.fleet_text(opened)
        anyio.run(apply, opened, opened.write("fleet.ini", fleet))
        for name in ("entry-1", "entry-2", "engine-1", "engine-2"):
            opened.wait_ready(name)
        opened.wait_ready("service-1")
        opened.wait_ready("store-1")
        yield opened


async def apply(site: site_processes.Site, path: pathlib.Path) -> None:
    secrets = handshake.Secrets(b"", b"operator-secret-of-tests")
    operator = handshake.Identity("operator", "test")
    addresses = [
        address.Address(site.host, site.port(f"control-{number}"))
        for number in (1, 2, 3)
    ]
    async with pool.open_pool(operator, secrets) as peers:
        control = client.ControlClient(peers, addresses)
        base = await control.read_fleet(timeout_s=20)
        reply = await control.apply(base, fleet_file.read(path))
        assert reply.outcome == messages.ApplyOutcome.ACCEPTED.value


def _open_client(
    site: site_processes.Site, entry: str = "entry-1", workspace: str = "bank"
) -> openai.OpenAI:
    port = site.port(f"{entry}-callers")
    return openai.OpenAI(
        api_key=site.keys[workspace],
        base_url=f"http://{site.host}:{port}/v1",
        max_retries=0,
    )


def test_stream_equals_whole_answer_of_other_entry(
    site: site_processes.Site,
) -> None:
    chat_messages: list[openai.types.chat.ChatCompletionMessageParam] = [
        {"role": "user", "content": PROMPT}
    ]
    with (
        _open_client(site) as first,
        _open_client(site, "entry-2") as second,
    ):
        complete = first.chat.completions.create(
            model="chat", messages=chat_messages, max_tokens=12
        )
        stream = second.chat.completions.create(
            model="chat", messages=chat_messages, max_tokens=12, stream=True
        )
        deltas = [part.choices[0].delta.content or "" for part in stream]
    assert complete.usage is not None
    assert complete.usage.completion_tokens == 12
    assert "".join(deltas) == complete.choices[0].message.content


def _order(
    site: site_processes.Site, entry: str, key: str, workspace: str = "bank"
) -> httpcore.Response:
    port = site.port(f"{entry}-callers")
    return httpcore.request(
        "POST",
        f"http://{site.host}:{port}/services/inventory/orders",
        headers={
            "authorization": f"Bearer {site.keys[workspace]}",
            "idempotency-key": key,
        },
        content=b'{"part": 7}',
    )


def test_service_call_runs_once_through_two_entries(
    site: site_processes.Site,
) -> None:
    first = _order(site, "entry-1", "stock-write-1")
    repeated = _order(site, "entry-2", "stock-write-1")
    other = _order(site, "entry-2", "stock-write-1", "clinic")
    assert first.status == 200
    assert repeated.content == first.content
    assert other.content != first.content


def test_unknown_key_is_refused_as_not_run(site: site_processes.Site) -> None:
    port = site.port("entry-1-callers")
    response = httpcore.request(
        "POST",
        f"http://{site.host}:{port}/v1/chat/completions",
        headers={"authorization": "Bearer ck_000000_wrong"},
        content=b'{"model": "chat", "messages": []}',
    )
    assert response.status == 401
    assert (b"cactusstile-verdict", b"not_run") in [
        (name.lower(), value) for name, value in response.headers
    ]


def test_dump_shows_state_without_secrets(site: site_processes.Site) -> None:
    for name in ("entry-1", "engine-1", "store-1", "control-1"):
        status, text = site.get(name, "/dump")
        assert status == 200
        assert "revision" in text
        assert "scrypt" not in text
        assert "fleet-secret" not in text


def test_every_role_exports_its_own_metrics(
    site: site_processes.Site,
) -> None:
    for name, metric in (
        ("entry-1", "cactusstile_entry"),
        ("engine-1", "cactusstile_agent"),
        ("store-1", "cactusstile_store"),
        ("control-1", 'cactusstile_control_term{group="claims"}'),
        ("control-1", 'cactusstile_control_elections_total{group="claims"}'),
        ("control-1", 'control_snapshots_installed_total{group="claims"} 0.0'),
        ("control-1", 'control_sync_seconds_bucket{group="claims",le="1.0"}'),
        ("control-1", 'control_role{group="configuration",role="'),
    ):
        status, text = site.get(name, "/metrics")
        assert status == 200
        assert metric in text


def _read_status(site: site_processes.Site) -> dict[str, typing.Any]:
    shown = site.run_command("status", "--json")
    assert shown.returncode == 0, shown.stderr
    return typing.cast("dict[str, typing.Any]", json.loads(shown.stdout))


def test_status_shows_fleet_without_waiting_for_a_silent_target(
    site: site_processes.Site,
) -> None:
    site.write_operator()
    with _open_client(site) as caller:
        caller.completions.create(model="chat", prompt=PROMPT, max_tokens=2)
    # The prompt's blocks are exported after the response.
    for _ in range(50):
        targets = {view["name"]: view for view in _read_status(site)["targets"]}
        if targets["store-1"]["state"]["blocks"]:
            break
        time.sleep(0.1)
    assert targets["engine-1"]["state"]["version"] == "v1"
    assert targets["engine-1"]["state"]["ready"]
    assert targets["service-1"]["state"]["slots"] > 0
    store = targets["store-1"]["state"]
    assert 0 < store["memory_bytes"] <= store["memory_bound_bytes"]
    frozen = site.processes["engine-2"]
    frozen.send_signal(signal.SIGSTOP)
    try:
        shown = site.run_command("status")
    finally:
        frozen.send_signal(signal.SIGCONT)
    assert shown.returncode == 0, shown.stderr
    assert "engine-2 (engine, ikeja): does not answer" in shown.stdout
    assert "3 of 4 targets answer" in shown.stdout
    assert "3 of 3 voters agree" in shown.stdout
    assert "link ikeja lekki: 0.0% of 4.0 MB/s" in shown.stdout


def test_site_serves_on_after_loss_of_engine_entry_and_control(
    site: site_processes.Site,
) -> None:
    for name in ("control-1", "entry-2", "engine-1", "engine-1-target"):
        site.kill(name)
    with _open_client(site) as caller:
        for number in range(4):
            answer = caller.chat.completions.create(
                model="chat",
                messages=[{"role": "user", "content": f"{number} {PROMPT}"}],
                max_tokens=4,
                timeout=10,
            )
            assert answer.usage is not None
            assert answer.usage.completion_tokens == 4
    text = site_processes.fleet_text(site, revision=2)
    anyio.run(apply, site, site.write("fleet-2.ini", text))
    site.start(
        "engine-1-target",
        "tests.support.fake_target",
        "engine",
        f"{site.host}:{site.port('engine-1-target')}",
    )
    site_processes.start_agent(site, "engine-1", "engine")
    site.wait_ready("engine-1")
    assert '"revision": 2' in site.get("engine-1", "/dump")[1]
