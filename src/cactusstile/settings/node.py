"""Settings of a process on a platform that assigns VMs and addresses.

The platform also publishes the list of targets.
"""

from __future__ import annotations

import json
import pathlib
import typing

import attrs

from cactusstile.settings import ini
from cactusstile.transport import address

MIN_SECRET_CHARACTERS = 16
_MAX_MS = 3_600_000


@attrs.frozen
class NodeSettings:
    """Settings of one process on a node.

    Attributes:
      name: Name of the VM.
      role: Role of the process.
      host: IP address of the VM.
      bind_host: IP address that the listeners bind to if a relay accepts
        connections at the advertised addresses; None to bind to the
        advertised addresses.
      data_centre: Data centre of the VM.
      regions: Region of each data centre.
      first_start: Whether the whole system is started for the first time.
      data_folder: Folder of the durable state; None if there is no disk.
      internal_ports: First and last port reserved for connections between
        the system's own processes.
      admin_port: Port for metrics and the state dump.
      secret: Shared secret with which the system's processes authenticate to
        each other.
      seeds: Operator addresses of a few control processes.
      callers: Address for callers; None if this role serves no callers.
      readiness: Address for the load balancer's readiness probes; None if
        there is none.
      operator: Address for the operator; None if there is none.
      platform: Address of the platform's list of targets.
      list_interval_s: Time between two reads of the list of targets, in
        seconds.
      memory_mb: Memory limit of the process, in MB.
      link_mbps: Bandwidth of the VM's link, in Mbit/s.
      view_limit_s: Age from which a gateway's view of the site decides on no
        request, in seconds.
      cut_off_s: Age of the view from which control counts as out of reach, in
        seconds.
      max_connections: Maximum number of connections of callers; 0 derives it
        from `memory_mb`.
      stop_s: Time between SIGTERM and SIGKILL, in seconds.
      retry_ratio: Retries allowed per request to a service.
      retry_window_s: Window over which the retries are counted, in seconds.
      retry_slack: Retries allowed in addition to the ratio.
      weights_s: Time from the announcement of new weights until no request
        may start on older ones, in seconds.
    """

    name: str
    role: str
    host: str
    data_centre: str
    first_start: bool
    data_folder: pathlib.Path | None
    internal_ports: tuple[int, int]
    admin_port: int
    secret: str = attrs.field(repr=False)
    seeds: tuple[address.Address, ...]
    callers: address.Address | None
    readiness: address.Address | None
    operator: address.Address | None
    platform: address.Address
    list_interval_s: float
    memory_mb: int
    link_mbps: float
    stop_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    weights_s: float
    view_limit_s: float = 1.9
    cut_off_s: float = 3.0
    max_connections: int = 0
    bind_host: str | None = None
    regions: dict[str, str] = attrs.field(factory=dict)

    def bind_address(self, advertised: address.Address) -> address.Address:
        """Returns the address to bind for an advertised address."""
        return address.Address(
            self.bind_host or advertised.host, advertised.port
        )

    @property
    def internal_address(self) -> address.Address:
        """Advertised address for the system's own processes."""
        return address.Address(self.host, self.internal_ports[0])

    @property
    def internal_bind_address(self) -> address.Address:
        """Address to bind for the system's own processes."""
        return self.bind_address(self.internal_address)

    @property
    def internal_seeds(self) -> tuple[address.Address, ...]:
        """Addresses at which the system's own processes reach the seeds."""
        port = self.internal_ports[0]
        return tuple(address.Address(seed.host, port) for seed in self.seeds)

    @property
    def admin_address(self) -> address.Address:
        """Address for metrics and the state dump."""
        return address.Address(self.host, self.admin_port)


def _parse_optional_address(text: str) -> address.Address | None:
    return address.parse(text) if text.strip() else None


def _parse_addresses(text: str) -> tuple[address.Address, ...]:
    parts = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(address.parse(part) for part in parts)


def _parse_folder(text: str) -> pathlib.Path | None:
    return pathlib.Path(text) if text.strip() else None


def _parse_regions(text: str) -> dict[str, str]:
    try:
        regions = json.loads(text or "{}")
    except (ValueError, RecursionError) as error:
        raise ValueError(f"{text!r} is no JSON object") from error
    if not isinstance(regions, dict):
        raise ValueError(f"{text!r} is no JSON object")
    for data_centre, region in regions.items():
        if not isinstance(region, str):
            raise ValueError(f"the region of {data_centre!r} is no text")
    return regions


def _parse_port_range(text: str) -> tuple[int, int]:
    parse = ini.integer(1, address.MAX_PORT)
    parts = [parse(part.strip()) for part in text.split(",")]
    if len(parts) != len(("first", "last")) or parts[0] > parts[1]:
        raise ValueError(f"{text!r} is not like 7700,7715")
    return parts[0], parts[1]


def _parse_secret(text: str) -> str:
    if len(text) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f"shorter than {MIN_SECRET_CHARACTERS} characters; write a random"
            " one"
        )
    return text


def _parse_boolean(text: str) -> bool:
    return ini.choice("true", "false")(text.strip().lower()) == "true"


OPTIONS: dict[str, tuple[ini.Option, ...]] = {
    "node": (
        ini.Option("name", ini.name, "name of the VM"),
        ini.Option("role", ini.name, "role of the process"),
        ini.Option("host", ini.name, "IP number of the VM"),
        ini.Option(
            "bind_host",
            ini.name,
            "IP number that listeners bind, if a relay stands at host",
            None,
        ),
        ini.Option("data_centre", ini.name, "data centre of the VM"),
        ini.Option(
            "regions",
            _parse_regions,
            "region of each data centre, as a JSON object",
            {},
        ),
        ini.Option(
            "first_start",
            _parse_boolean,
            "whether the whole system starts for the first time",
        ),
        ini.Option(
            "data_folder", _parse_folder, "folder of the durable state", None
        ),
        ini.Option(
            "internal_ports",
            _parse_port_range,
            "first and last port for the system's own processes",
        ),
        ini.Option(
            "admin_port",
            ini.integer(1, address.MAX_PORT),
            "port for metrics and the state dump",
        ),
        ini.Option(
            "secret",
            _parse_secret,
            "shared by the system's processes, at least"
            f" {MIN_SECRET_CHARACTERS} characters",
        ),
        ini.Option(
            "memory_mb", ini.integer(16, 1 << 20), "memory of the process", 128
        ),
        ini.Option(
            "link_mbps",
            ini.number(0.1, 1e6),
            "bandwidth of the VM's link, in Mbit/s",
            1000,
        ),
    ),
    "listen": (
        ini.Option(
            "callers", _parse_optional_address, "address for callers", None
        ),
        ini.Option(
            "readiness",
            _parse_optional_address,
            "address for the balancer",
            None,
        ),
        ini.Option(
            "operator",
            _parse_optional_address,
            "address for the operator",
            None,
        ),
    ),
    "control": (
        ini.Option(
            "seeds",
            _parse_addresses,
            "operator addresses of control processes",
            (),
        ),
    ),
    "discovery": (
        ini.Option("platform", address.parse, "address of the list of targets"),
        ini.Option(
            "interval_ms",
            ini.number(50, _MAX_MS),
            "time between two reads of the list",
            600,
        ),
    ),
    "limits": (
        ini.Option(
            "max_connections",
            ini.integer(0, 1 << 20),
            "connections of callers, also three eighths of descriptors; 0 for"
            " what memory_mb allows",
            0,
        ),
        ini.Option(
            "stop_s", ini.number(1, 3600), "time from SIGTERM to SIGKILL", 8
        ),
        ini.Option(
            "retry_ratio", ini.number(0, 10), "repeats for each request", 0.1
        ),
        ini.Option(
            "retry_window_s", ini.number(0.1, 3600), "window of the repeats", 10
        ),
        ini.Option(
            "retry_slack", ini.number(0, 1e6), "repeats allowed besides", 10
        ),
        ini.Option(
            "weights_ms",
            ini.number(100, _MAX_MS),
            "time until no request begins on older weights",
            8000,
        ),
        ini.Option(
            "view_limit_ms",
            ini.number(1000, _MAX_MS),
            "age of a gateway's view from which it decides on no request",
            1900,
        ),
        ini.Option(
            "cut_off_ms",
            ini.number(1000, _MAX_MS),
            "age of the view from which control counts as out of reach; not"
            " below view_limit_ms",
            3000,
        ),
    ),
}


def load(path: pathlib.Path) -> NodeSettings:
    """Reads the settings file of a node.

    Raises:
      InvalidFileError: If the file is invalid; lists all problems.
    """
    return parse(ini.read_text(path), str(path))


def parse(text: str, file: str) -> NodeSettings:
    """Parses the settings of a node.

    Args:
      text: Content of the settings file.
      file: Name of the file for error messages.

    Raises:
      InvalidFileError: If the text is invalid; lists all problems.
    """
    parser = ini.parse_text(text, file)
    problems: list[ini.Problem] = []
    for name in parser.sections():
        if name not in OPTIONS:
            unknown = f"unknown section; known: {' '.join(OPTIONS)}"
            problems.append(ini.Problem(file, name, "", unknown))
    values: dict[str, typing.Any] = {}
    for section, options in OPTIONS.items():
        values.update(
            ini.read_section(parser, section, options, file, problems)
        )
    if not problems and values["cut_off_ms"] < values["view_limit_ms"]:
        text = "shorter than view_limit_ms"
        problems.append(ini.Problem(file, "limits", "cut_off_ms", text))
    if problems:
        raise ini.InvalidFileError(problems)
    for name in ("weights", "view_limit", "cut_off"):
        values[f"{name}_s"] = values.pop(f"{name}_ms") / 1000
    values["list_interval_s"] = values.pop("interval_ms") / 1000
    return NodeSettings(**values)
