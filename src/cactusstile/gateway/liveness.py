"""Finds out whether a target whose answer broke off has ended."""

from __future__ import annotations

import enum
import logging

import anyio

from cactusstile.gateway import target_view
from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.sites import model

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.2


class Finding(enum.Enum):
    """What a new connection to a target's address shows."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"
    UNKNOWN = "unknown"


async def has_ended(view: target_view.TargetView) -> bool:
    """Returns whether a target that stays works on no request any more.

    Only the reply of its VM that nothing listens at the address proves that: a
    target that is stopped, overloaded or cut off is silent, too. One that
    leaves may close its port while it finishes its requests.
    """
    return await probe(view.target) is Finding.REFUSES


async def probe(target: model.Target) -> Finding:
    """Opens a connection to a target, and logs what it shows.

    A silent target may be stopped, overloaded or cut off; `UNKNOWN` means that
    this process or its VM could not make the connection.
    """
    began_s = anyio.current_time()
    finding = await _connect(target)
    logger.info(
        "probed a target whose answer broke off",
        extra={
            "target": target.id,
            "finding": finding.value,
            "took_ms": round((anyio.current_time() - began_s) * 1000, 1),
        },
    )
    return finding


async def _connect(target: model.Target) -> Finding:
    try:
        opened = await sockets.connect(target.address, PROBE_TIMEOUT_S)
    except exceptions.RefusedConnectionError:
        return Finding.REFUSES
    except exceptions.ConnectTimeoutError:
        return Finding.SILENT
    except exceptions.UnreachableError:
        return Finding.UNKNOWN
    opened.close()
    return Finding.ACCEPTS
