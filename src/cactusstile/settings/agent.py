"""Agent settings: the `[agent]` section of the settings file."""

from __future__ import annotations

import typing
import urllib.parse

import attrs

from cactusstile.settings import ini
from cactusstile.settings import process

if typing.TYPE_CHECKING:
    import collections.abc
    import pathlib

SECTION = "agent"
STORE_KIND = "store"
MAX_TIER_BYTES = 1 << 50
DEFAULT_DRAIN_LIMIT_S = 300.0


@attrs.frozen
class AgentSettings:
    """Settings of an agent.

    Attributes:
      process: Settings common to all roles.
      kind: "engine", "service" or "store".
      target: Name of the target in the fleet.
      url: Base URL of the target; empty for a store.
      platform_url: Base URL of the platform's list; empty if there is none.
      vm: Name of the VM in the platform's list.
      weight_store_url: Base URL of the weight store; empty if there is none.
      drain_limit_s: Maximum time to finish accepted work at shutdown, in
        seconds.
      service_slots: Maximum number of concurrent calls to a plain service.
      expected_load_s: Expected duration of a weight load, in seconds.
      data_folder: Folder of a store's disk tier; empty if it has none.
      memory_bytes: Maximum size of a store's blocks in memory, in bytes.
      disk_bytes: Maximum size of a store's blocks on disk, in bytes.
    """

    process: process.ProcessSettings
    kind: str
    target: str
    url: str = ""
    platform_url: str = ""
    vm: str = ""
    weight_store_url: str = ""
    drain_limit_s: float = DEFAULT_DRAIN_LIMIT_S
    service_slots: int = 64
    expected_load_s: float = 5.0
    data_folder: str = ""
    memory_bytes: int = 0
    disk_bytes: int = 0


def _parse_url(text: str) -> str:
    """Returns a base URL without its trailing slash.

    >>> _parse_url("http://127.0.0.1:8000/")
    'http://127.0.0.1:8000'
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme != "http" or not parts.netloc:
        raise ValueError(
            f"{text!r} is not an address like http://127.0.0.1:8000"
        )
    return text.rstrip("/")


OPTIONS = (
    ini.Option(
        "kind",
        ini.choice("engine", "service", "store"),
        "what stands beside the agent: engine, service or store",
    ),
    ini.Option("target", ini.name, "name of the target in the fleet file"),
    ini.Option("url", _parse_url, "base address of the target", ""),
    ini.Option(
        "platform_url", _parse_url, "base address of the platform's list", ""
    ),
    ini.Option("vm", ini.name, "name of the VM in the platform's list", ""),
    ini.Option(
        "weight_store_url", _parse_url, "base address of the weight store", ""
    ),
    ini.Option(
        "drain_limit_s",
        ini.number(0, 86_400),
        "bound on finishing work at shutdown, in seconds",
        DEFAULT_DRAIN_LIMIT_S,
    ),
    ini.Option(
        "service_slots",
        ini.integer(1, 10_000),
        "calls at once to a plain service",
        64,
    ),
    ini.Option(
        "expected_load_s",
        ini.number(0, 86_400),
        "expected time of a load of weights, in seconds",
        5.0,
    ),
    ini.Option("data_folder", str, "folder of a store's disk tier", ""),
    ini.Option(
        "memory_bytes",
        ini.integer(0, MAX_TIER_BYTES),
        "bound on a store's blocks in memory, in bytes",
        0,
    ),
    ini.Option(
        "disk_bytes",
        ini.integer(0, MAX_TIER_BYTES),
        "bound on a store's blocks on disk, in bytes",
        0,
    ),
)


def load(path: pathlib.Path) -> AgentSettings:
    """Reads the settings file of an agent.

    Raises:
      InvalidFileError: If the file is invalid; lists the problems found.
    """
    common, values = process.load(path, SECTION, OPTIONS)
    if values["kind"] == STORE_KIND:
        _check_store(path, values)
    elif not values["url"]:
        text = "missing; write: url = http://IP-number:port of the target"
        raise ini.InvalidFileError(
            [ini.Problem(str(path), SECTION, "url", text)]
        )
    return AgentSettings(common, **values)


def _check_store(
    path: pathlib.Path, values: collections.abc.Mapping[str, typing.Any]
) -> None:
    """Checks that a store has a tier, and a folder if it has a disk tier."""
    if values["disk_bytes"] and not values["data_folder"]:
        text = "missing; write the folder of the disk tier, or disk_bytes = 0"
        raise ini.InvalidFileError(
            [ini.Problem(str(path), SECTION, "data_folder", text)]
        )
    if not values["disk_bytes"] and not values["memory_bytes"]:
        text = "a store needs memory_bytes, disk_bytes or both above 0"
        raise ini.InvalidFileError(
            [ini.Problem(str(path), SECTION, "memory_bytes", text)]
        )
