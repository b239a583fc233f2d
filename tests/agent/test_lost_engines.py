from __future__ import annotations

import anyio
import anyio.abc
import pytest

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.agent import prompt_run
from cactusstile.fakes import engine
from cactusstile.fakes import engine_app
from cactusstile.fakes import serving
from cactusstile.fakes import site
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


async def _run(opened: site.Site, *, repeatable: bool) -> object:
    """Returns the final message of a run."""
    run = messages.Run(
        request_key="k1",
        attempt=0,
        workspace="bank",
        deployment=site.DEPLOYMENT,
        version="",
        adapter="",
        tokens=tuple(range(100, 180)),
        max_tokens=12,
        repeatable=repeatable,
    )
    connection = await opened.peers.connect(opened.agents["engine-1"].bound)
    async with connection.open_stream(run) as stream:
        async for _ in stream:
            continue
        return await stream.result()


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("events", [0, 4])
async def test_run_is_not_called_not_run_once_its_engine_is_unreachable(
    events: int, repeatable: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a false promise and a second run at another target."""
    monkeypatch.setattr(prompt_run, "RESUME_TIMEOUT_S", 0.3)
    fake_engine = engine.Engine(engine.EngineSettings(output_token_s=0.02))
    fake_engine.breaks = [events]
    stop = anyio.Event()

    async def serve(
        *, task_status: anyio.abc.TaskStatus[address.Address]
    ) -> None:
        app = engine_app.build_app(fake_engine)
        async with serving.open_app(app) as bound:
            task_status.started(bound)
            await stop.wait()

    async def stop_once_it_runs() -> None:
        while not fake_engine.streams:
            await anyio.sleep(0.001)
        stop.set()

    async with (
        site.open_site() as opened,
        fake_engine.run(),
        anyio.create_task_group() as group,
    ):
        url = f"http://{await group.start(serve)}"
        async with site.open_agent(opened, "engine-1", "engine", url):
            group.start_soon(stop_once_it_runs)
            with anyio.fail_after(5):
                end = await _run(opened, repeatable=repeatable)
    assert len(fake_engine.streams) == 1
    assert isinstance(end, messages.Refused)
    assert end.verdict == verdict.Verdict.MAY_HAVE_RUN.value
