from __future__ import annotations

import json
import pathlib
import typing

import anyio
import attrs
import pytest

from benchmarks import http_callers
from benchmarks import http_load
from benchmarks import http_policies
from benchmarks import http_trace
from benchmarks import shaped_links
from cactusstile.entry import calls
from cactusstile.local import site as local_site
from cactusstile.state import model
from cactusstile.transport import address

LINK = ("bayan", "prai")


def _visits(duration_s: float = 30.0) -> list[http_trace.Visit]:
    plan = http_load.Plan(duration_s=duration_s)
    fleet, _ = http_load.read_site(plan)
    return http_load.generate(plan, fleet)


def test_trace_is_equal_for_same_seed_and_repeats_prefixes() -> None:
    visits = _visits()
    assert visits == _visits()
    assert 0 < http_trace.unlimited_cache_share(visits) < 1


@pytest.mark.parametrize(
    ("change", "answers", "wrong"),
    [
        ({}, 1, 0),
        ({"text": "ijkl"}, 1, 1),
        ({"text": "", "finished": True}, 1, 1),
        ({"finished": False}, 0, 0),
        ({"text": "ijkl", "failure": "may_have_run/target_lost"}, 0, 1),
    ],
)
def test_answer_with_wrong_token_is_counted_as_wrong(
    change: dict[str, typing.Any], answers: int, wrong: int
) -> None:
    visit = attrs.evolve(_visits()[0], answer=(0x20636261, 0x20646362))
    tally = http_callers.Tally()
    received = http_callers.ReceivedAnswer("abc bcd ", finished=True)
    http_callers.count(visit, attrs.evolve(received, **change), tally)
    assert (tally.answers, tally.wrong) == (answers, wrong)
    assert bool(tally.refusals) is (not answers)


@pytest.mark.anyio
async def test_link_does_not_exceed_its_bandwidth() -> None:
    link = shaped_links.Link(bytes_per_s=100_000)
    started_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(link.carry, 5_000)
    assert anyio.current_time() - started_s >= 0.2
    assert link.passed_bytes == 20_000


def test_run_with_corrupted_stores_gives_no_wrong_answer(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    written = tmp_path / "out.json"
    code = http_load.main(
        duration_s=2.0,
        fault="corrupt_stores",
        policies="cactusstile",
        json_file=str(written),
    )
    assert code == 0
    report = json.loads(written.read_text())
    figures = report["results"][0]["figures"]
    assert figures["wrong"] == 0
    assert figures["answers"] > 0
    refused = sum(figures["refusals"].values())
    assert figures["answers"] + refused == report["visits"]
    assert figures["p50_ms"] <= figures["p95_ms"] <= figures["p99_ms"]
    assert "cactusstile" in capsys.readouterr().out


def test_baselines_select_targets_as_their_names_say() -> None:
    fleet, _ = http_load.read_site(http_load.Plan())
    reports = {f"engine-{number}": number for number in (1, 2, 4, 5)}
    call = calls.PromptCall("k", "w", "mould-assistant", "", (), b"", 1)
    policies = {item.name: item for item in http_policies.all_policies()}

    def route(name: str, excluded: tuple[str, ...] = ()) -> list[str]:
        policy = policies[name]
        prepared = policy.prepare(fleet)
        assert policy.build_routes is not None
        routes = policy.build_routes(lambda: prepared, reports)
        selected = [routes.candidates(call, excluded, {}) for _ in range(5)]
        assert all(len(targets) == 1 for targets in selected)
        return [targets[0].name for targets in selected]

    assert len(set(route("round_robin"))) == 5
    assert set(route("least_loaded")) == {"engine-3"}
    assert set(route("least_loaded", ("engine-3",))) == {"engine-1"}
    assert not policies["no_kept_state"].prepare(fleet).stores()


async def _is_open(bound: address.Address) -> bool:
    try:
        stream = await anyio.connect_tcp(bound.host, bound.port)
    except OSError:
        return False
    await stream.aclose()
    return True


@pytest.mark.anyio
async def test_killed_store_closes_its_listener(tmp_path: pathlib.Path) -> None:
    plan = http_load.Plan()
    fleet, _ = http_load.read_site(plan)
    policy = http_policies.all_policies()[0]
    stores = {store.name: store for store in fleet.stores()}
    bound = address.Address(http_load.HOST, http_load.free_ports(1)[0])
    only = {"store-1": attrs.evolve(stores["store-1"], agent=bound)}
    moved_fleet = attrs.evolve(fleet, targets=only)
    links = shaped_links.ShapedLinks(moved_fleet)
    settings = http_load.build_settings(
        moved_fleet, str(tmp_path), policy, links, {}
    )
    async with local_site.open_site(settings) as site:
        assert await _is_open(bound)
        http_load.kill_store(http_load.RunningSite(site, links))
        with anyio.fail_after(5):
            while await _is_open(bound):
                await anyio.sleep(0.02)


@pytest.mark.anyio
async def test_only_connections_to_other_data_centres_use_a_link() -> None:
    async def accept(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()

    listener = await anyio.create_tcp_listener(local_host=http_load.HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    store = model.Target(
        "store-1",
        model.TargetKind.STORE,
        address.Address(http_load.HOST, port),
        "prai",
    )
    fleet = model.Fleet(
        targets={"store-1": store}, links={LINK: model.Link(LINK, 1e6)}
    )
    links = shaped_links.ShapedLinks(fleet)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, accept)
        for data_centre, expected_bytes in (("prai", 0), ("bayan", 5)):
            stream = await links.dial_from(data_centre)(store.agent)
            async with stream:
                await stream.send(b"block")
            assert links.passed_bytes() == expected_bytes
        group.cancel_scope.cancel()
