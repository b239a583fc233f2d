from __future__ import annotations

import contextlib
import json
import logging
import os
import time

from cactusstile.observability import logs
from cactusstile.observability import rate_limited_logs


def open_logger(
    descriptor: int,
) -> tuple[logging.Logger, rate_limited_logs.BoundedHandler]:
    handler = rate_limited_logs.BoundedHandler(descriptor)
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.getLogger(f"test-{os.urandom(4).hex()}")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(handler)
    return logger, handler


def test_logging_does_not_block_when_output_is_not_read() -> None:
    reader, writer = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, reader)
        stack.callback(os.close, writer)
        logger, handler = open_logger(writer)
        started_s = time.monotonic()
        for _ in range(3000):
            logger.warning("x" * 500)
        assert time.monotonic() - started_s < 2
        assert handler.dropped > 0
        assert len(handler.pending) <= rate_limited_logs.MAX_PENDING_BYTES + 501


def test_line_rate_is_limited_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, reader)
        stack.callback(os.close, writer)
        logger, handler = open_logger(writer)
        for _ in range(int(rate_limited_logs.BURST_LINES) + 500):
            logger.info("x")
        assert handler.dropped_total >= 400
        # Warnings are not rate-limited.
        dropped_before = handler.dropped
        logger.warning("y")
        assert dropped_before > 0
        assert handler.dropped == 0


def test_line_is_json_with_extra_fields() -> None:
    reader, writer = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, reader)
        stack.callback(os.close, writer)
        handler = rate_limited_logs.BoundedHandler(writer)
        handler.setFormatter(logs.build_formatter("gateway", "g"))
        logger = logging.getLogger(f"test-{os.urandom(4).hex()}")
        logger.setLevel(logging.INFO)
        logger.propagate = False
        logger.addHandler(handler)
        logger.info("targets changed", extra={"came": ["t"]})
        line = json.loads(os.read(reader, 4096))
    assert (line["process"], line["came"]) == ("g", ["t"])
