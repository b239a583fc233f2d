from __future__ import annotations

import contextlib
import json
import logging
import os
import time

from cactusstile.observability import lines
from cactusstile.observability import logs


def log_to(descriptor: int) -> tuple[logging.Logger, lines.BoundedHandler]:
    handler = lines.BoundedHandler(descriptor)
    handler.setFormatter(logging.Formatter("%(message)s"))
    own = logging.getLogger(f"test-{os.urandom(4).hex()}")
    own.setLevel(logging.INFO)
    own.propagate = False
    own.addHandler(handler)
    return own, handler


def test_output_that_nobody_reads_stops_nothing() -> None:
    read, write = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        own, handler = log_to(write)
        started_s = time.monotonic()
        for _ in range(3000):
            own.warning("x" * 500)
        assert time.monotonic() - started_s < 2
        assert handler.left_out > 0
        assert len(handler.pending) <= lines.MAX_PENDING_BYTES + 501


def test_rate_is_bounded_and_what_is_left_out_is_counted() -> None:
    read, write = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        own, handler = log_to(write)
        for _ in range(int(lines.BURST_LINES) + 500):
            own.info("x")
        assert handler.left_out_total >= 400
        # Warnings always pass.
        before = handler.left_out
        own.warning("y")
        assert before > 0
        assert handler.left_out == 0


def test_line_is_json_with_its_fields() -> None:
    read, write = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, read)
        stack.callback(os.close, write)
        handler = lines.BoundedHandler(write)
        handler.setFormatter(logs.build_formatter("gateway", "g"))
        own = logging.getLogger(f"test-{os.urandom(4).hex()}")
        own.setLevel(logging.INFO)
        own.propagate = False
        own.addHandler(handler)
        own.info("targets changed", extra={"came": ["t"]})
        line = json.loads(os.read(read, 4096))
    assert (line["process"], line["came"]) == ("g", ["t"])
