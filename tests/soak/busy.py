"""Processes that keep cores busy beside a run."""

from __future__ import annotations

import collections.abc
import contextlib
import sys

import anyio
from tests.soak import history as histories
from tests.soak import plans

COUNT = 2
# They end by themselves after this time, if nobody ends them.
MAX_S = 90
_CODE = f"""
import time
end_s = time.monotonic() + {MAX_S}
while time.monotonic() < end_s:
    pass
"""


@contextlib.asynccontextmanager
async def open_busy(
    history: histories.History,
) -> collections.abc.AsyncIterator[None]:
    """Keeps cores busy until the context exits, which ends the fault."""
    fault = histories.InjectedFault(plans.BUSY, "", anyio.current_time())
    history.injected_faults.append(fault)
    with contextlib.ExitStack() as stack:
        for _ in range(COUNT):
            process = await anyio.open_process(
                [sys.executable, "-c", _CODE], stdout=None, stderr=None
            )
            stack.callback(process.kill)
        yield
    fault.to_s = anyio.current_time()
