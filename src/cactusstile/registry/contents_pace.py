"""Paces the full contents of stores that are sent to gateways."""

from __future__ import annotations

import anyio

from cactusstile.limits import token_bucket

# Fraction of the VM's link that full contents of stores may take. Heartbeats
# queue behind them, so their bursts stay well below an election timeout.
CONTENTS_LINK_FRACTION = 0.4
CONTENTS_BURST_S = 0.8
_BYTES_PER_MBIT = 125_000


def open_bucket(link_mbps: float) -> token_bucket.TokenBucket:
    """Returns the bucket from which full contents take their bytes.

    Args:
      link_mbps: Bandwidth of the VM's link, in Mbit/s.
    """
    bytes_per_s = link_mbps * _BYTES_PER_MBIT * CONTENTS_LINK_FRACTION
    return token_bucket.TokenBucket(
        bytes_per_s,
        anyio.current_time,
        burst_bytes=CONTENTS_BURST_S * bytes_per_s,
    )
