from __future__ import annotations

import collections.abc

import anyio
import attrs
import pytest

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.fakes import site
from cactusstile.state import model
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.store import daemon as store_daemon
from cactusstile.transport import address

pytestmark = pytest.mark.anyio

PROMPT = tuple(range(1000, 1480))
BLOCKS = len(PROMPT) // tokens.BLOCK_TOKENS
COUNT = 6
SCOPE = tokens.Scope("bank", site.DEPLOYMENT, "v1")
SETTINGS = engine.EngineSettings(
    prompt_token_s=0.0004, output_token_s=0.001, load_s=0.02, cache_blocks=128
)


def _expected(
    prompt: tuple[int, ...] = PROMPT, version: str = "v1"
) -> list[int]:
    scope = tokens.Scope("bank", site.DEPLOYMENT, version)
    return oracle.answer(scope, prompt, COUNT)


async def _run_prompt(
    opened: site.Site,
    key: str,
    target: str = "engine-1",
    prompt: tuple[int, ...] = PROMPT,
) -> tuple[list[int], messages.RunEnd]:
    run = messages.Run(
        request_key=key,
        attempt=0,
        workspace="bank",
        deployment=site.DEPLOYMENT,
        version="",
        adapter="",
        tokens=prompt,
        max_tokens=COUNT,
        prefix_key=b"conversation-one",
    )
    connection = await opened.peers.connect(opened.agents[target].bound)
    output: list[int] = []
    async with connection.open_stream(run) as stream:
        async for item in stream:
            assert isinstance(item, messages.RunTokens)
            output += item.tokens
        end = await stream.result()
    assert isinstance(end, messages.RunEnd)
    return output, end


async def _wait_until_stored(opened: site.Site, count: int = BLOCKS) -> None:
    records = opened.stores["store-1"].stored.records
    with anyio.fail_after(5):
        while len(records) < count:
            await anyio.sleep(0.01)


@pytest.fixture
async def opened() -> collections.abc.AsyncIterator[site.Site]:
    async with (
        site.open_site() as opened,
        site.open_store(opened),
        site.open_engine_agent(opened, "engine-1", SETTINGS),
        site.open_engine_agent(opened, "engine-2", SETTINGS),
    ):
        yield opened


async def test_returning_prompt_is_served_from_stored_blocks(
    opened: site.Site,
) -> None:
    await _run_prompt(opened, "first")
    await _wait_until_stored(opened)
    fake_engine = opened.engines["engine-1"]
    fake_engine.cache.clear()
    before = fake_engine.recomputed_tokens
    for target in ("engine-1", "engine-2"):
        output, end = await _run_prompt(opened, f"again-{target}", target)
        assert output == _expected()
        assert end.imported_tokens == len(PROMPT)
    assert fake_engine.recomputed_tokens == before
    assert opened.engines["engine-2"].recomputed_tokens == 0


async def test_export_occupies_link_only_briefly(
    opened: site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    sizes: list[int] = []
    keep = client.StoreClient.keep

    async def record_size(
        stores: client.StoreClient,
        scope: tokens.Scope,
        prefix_key: bytes,
        batch: collections.abc.Sequence[blocks.Block],
    ) -> int:
        sizes.append(sum(len(block.data) for block in batch))
        return await keep(stores, scope, prefix_key, batch)

    monkeypatch.setattr(client.StoreClient, "keep", record_size)
    targets = dict(opened.fleet_holder.fleet.targets)
    far = attrs.evolve(targets["store-1"], data_centre="far")
    pair = tuple(sorted(("far", site.DATA_CENTRE)))
    link = model.Link((pair[0], pair[1]), 400_000)
    always = model.Deployment(
        site.DEPLOYMENT, "model", "v1", first_token_weight=0, link_weight=0
    )
    opened.apply(
        targets={**targets, "store-1": far},
        links={link.data_centres: link},
        deployments={site.DEPLOYMENT: always},
    )
    await _run_prompt(opened, "first")
    await _wait_until_stored(opened)
    # Callers wait for the check for stored blocks, whose timeout is 100 ms.
    assert max(sizes) / link.bytes_per_s <= client.HAVE_TIMEOUT_S / 2


async def test_unreachable_store_does_not_fail_run(opened: site.Site) -> None:
    await _run_prompt(opened, "first")
    await _wait_until_stored(opened)
    targets = dict(opened.fleet_holder.fleet.targets)
    dead = type(targets["store-1"])(
        "store-1",
        targets["store-1"].kind,
        address.Address("127.0.0.1", 9),
        site.DATA_CENTRE,
    )
    opened.apply(targets={**targets, "store-1": dead})
    output, end = await _run_prompt(opened, "again", "engine-2")
    assert output == _expected()
    assert end.imported_tokens == 0


def _damage(store: store_daemon.Store, how: str) -> None:
    """Corrupts the third block, as faulty memory or a faulty disk would."""
    key = tokens.block_keys(SCOPE, PROMPT)[2]
    for record in store.stored.records.values():
        if record.header.key != key or record.data is None:
            continue
        if how == "flip":
            record.data = b"\xff" + record.data[1:]
        elif how == "other":
            record.data = oracle.kv_content(b"0123456789abcdef", 1024)
        else:
            record.data = record.data[:512]


@pytest.mark.parametrize("store_checks", [True, False])
@pytest.mark.parametrize("how", ["flip", "other", "truncate"])
async def test_damaged_block_is_not_imported(
    opened: site.Site,
    how: str,
    store_checks: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if not store_checks:
        always = lambda *_: True  # noqa: E731
        monkeypatch.setattr(store_daemon._Service, "is_whole", always)
    await _run_prompt(opened, "first")
    await _wait_until_stored(opened)
    _damage(opened.stores["store-1"], how)
    output, end = await _run_prompt(opened, "again", "engine-2")
    assert output == _expected()
    assert end.imported_tokens == 2 * tokens.BLOCK_TOKENS


async def test_short_export_gives_no_wrong_answer(opened: site.Site) -> None:
    opened.engines["engine-1"].reads_to_truncate = 3
    await _run_prompt(opened, "first")
    with anyio.fail_after(5):
        while opened.engines["engine-1"].reads_to_truncate:
            await anyio.sleep(0.01)
    await anyio.sleep(0.3)
    output, _ = await _run_prompt(opened, "again", "engine-2")
    assert output == _expected()


def _fill_cache(
    fake_engine: engine.Engine, keys: collections.abc.Iterable[bytes]
) -> None:
    for key in keys:
        index = fake_engine.cache.allocate(key)
        assert index is not None
        fake_engine.cache.seal(index, key, None)


@pytest.mark.parametrize("how", ["freed", "reused", "recomputed"])
async def test_memory_freed_in_the_middle_of_an_export(
    opened: site.Site, how: str
) -> None:
    fake_engine = opened.engines["engine-1"]
    await _run_prompt(opened, "warm", prompt=PROMPT[:16])
    await _wait_until_stored(opened, 1)
    fake_engine.settings = attrs.evolve(
        fake_engine.settings, block_read_s=0.006
    )
    await _run_prompt(opened, "first")
    await anyio.sleep(0.06)
    fake_engine.cache.clear()
    if how != "freed":
        _fill_cache(fake_engine, [b"other-%10d" % n for n in range(BLOCKS * 2)])
    if how == "recomputed":
        _fill_cache(fake_engine, tokens.block_keys(SCOPE, PROMPT))
    await anyio.sleep(0.4)
    output, _ = await _run_prompt(opened, "again", "engine-2")
    assert output == _expected()


async def test_swap_in_the_middle_of_an_import(
    opened: site.Site,
) -> None:
    prompt = PROMPT[:160]
    await _run_prompt(opened, "first", prompt=prompt)
    await _wait_until_stored(opened, 10)
    opened.engines["engine-1"].cache.clear()
    answers: list[tuple[list[int], messages.RunEnd]] = []

    async def run_prompt(key: str) -> None:
        answers.append(await _run_prompt(opened, key, prompt=prompt))

    async with anyio.create_task_group() as group:
        for number in range(12):
            if number == 4:
                opened.set_version("v2")
            group.start_soon(run_prompt, f"k{number}")
            await anyio.sleep(0.01)
    for output, end in answers:
        assert output == _expected(prompt, end.version)
    assert {end.version for _, end in answers} == {"v1", "v2"}


async def test_block_evicted_while_its_run_waits_is_imported_again(
    opened: site.Site,
) -> None:
    fake_engine = opened.engines["engine-1"]
    await _run_prompt(opened, "first")
    await _wait_until_stored(opened)
    admission = opened.agents["engine-1"].node.admission
    slots = admission.slots
    answers: list[tuple[list[int], messages.RunEnd]] = []

    async def run_prompt() -> None:
        answers.append(await _run_prompt(opened, "again"))

    async with anyio.create_task_group() as group:
        admission.resize(0)
        group.start_soon(run_prompt)
        await anyio.sleep(0.3)
        fake_engine.cache.clear()
        before = fake_engine.recomputed_tokens
        admission.resize(slots)
    [(output, end)] = answers
    assert output == _expected()
    assert fake_engine.recomputed_tokens == before
    assert end.imported_tokens == len(PROMPT)
