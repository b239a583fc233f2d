from __future__ import annotations

import pathlib
import secrets

from cactusstile.settings import node
from cactusstile.transport import address

# Below the kernel's range of ephemeral ports for outgoing connections.
FIRST_PORT = 20_000


def draw_network() -> str:
    """Returns a random loopback prefix, so that tests share no address."""
    return f"127.{1 + secrets.randbelow(250)}.{secrets.randbelow(250)}"


def settings(
    folder: pathlib.Path, name: str, host: str, port: int, *seeds: str
) -> node.NodeSettings:
    """Returns settings of a registry on `host` that uses ports from `port`."""
    return node.NodeSettings(
        name=name,
        role="registry",
        host=host,
        data_centre="d",
        first_start=True,
        data_folder=folder / name,
        internal_ports=(port, port + 9),
        admin_port=port + 1,
        secret="s" * 16,
        seeds=tuple(address.Address(seed, port + 2) for seed in seeds),
        callers=None,
        readiness=None,
        operator=address.Address(host, port + 2),
        platform=address.Address("127.0.0.1", 1),
        list_interval_s=0.5,
        memory_mb=128,
        link_mbps=1000.0,
        stop_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=10.0,
        weights_s=8.0,
    )
