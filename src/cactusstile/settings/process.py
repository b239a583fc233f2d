"""Settings common to all roles: the `[process]` section of the file."""

from __future__ import annotations

import pathlib
import typing

import attrs

from cactusstile.settings import ini
from cactusstile.transport import address
from cactusstile.transport import handshake

if typing.TYPE_CHECKING:
    import collections.abc

MIN_SECRET_BYTES = 16
_MAX_SECRET_FILE_BYTES = 4096


@attrs.frozen
class ProcessSettings:
    """Settings common to all roles.

    Attributes:
      name: Name of the process, unique within its role.
      data_centre: Data centre of the process's VM.
      listen: Address for the system's own processes.
      admin_listen: Address for metrics, health checks and the state dump.
      control: Addresses of the control processes.
      secrets: Secrets of the fleet and of the operators.
    """

    name: str
    data_centre: str
    listen: address.Address
    admin_listen: address.Address
    control: tuple[address.Address, ...]
    secrets: handshake.Secrets


def parse_addresses(text: str) -> tuple[address.Address, ...]:
    """Parses comma-separated addresses.

    Raises:
      ValueError: If the list is empty or an address is malformed.
    """
    parts = [part.strip() for part in text.split(",") if part.strip()]
    if not parts:
        raise ValueError("write at least one address like 10.0.0.1:7000")
    return tuple(address.parse(part) for part in parts)


def read_secret(text: str) -> bytes:
    """Reads a secret from a file.

    Args:
      text: Path of the file.

    Raises:
      ValueError: If the file cannot be read, or the secret is shorter than
        `MIN_SECRET_BYTES`.
    """
    try:
        with pathlib.Path(text).open("rb") as file:
            secret = file.read(_MAX_SECRET_FILE_BYTES).strip()
    except OSError as error:
        raise ValueError(
            f"cannot read the secret file {text!r}: {error.strerror}"
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f"the secret in {text!r} is shorter than {MIN_SECRET_BYTES} "
            "bytes; write a random one"
        )
    return secret


OPTIONS = (
    ini.Option("name", ini.name, "name of the process, unique in its role"),
    ini.Option("data_centre", ini.name, "data centre of the VM"),
    ini.Option("listen", address.parse, "address for the system's processes"),
    ini.Option(
        "admin_listen",
        address.parse,
        "address for /metrics, /livez, /readyz and /dump",
        address.Address("127.0.0.1", 0),
    ),
    ini.Option(
        "control",
        parse_addresses,
        "addresses of the control processes, separated by commas",
    ),
    ini.Option(
        "secret_file",
        read_secret,
        f"file with the fleet's secret, at least {MIN_SECRET_BYTES} bytes",
    ),
    ini.Option(
        "operator_secret_file",
        read_secret,
        "file with the operators' secret; control, agents and stores",
        b"",
    ),
)


def load(
    path: pathlib.Path,
    section: str = "",
    options: collections.abc.Sequence[ini.Option] = (),
) -> tuple[ProcessSettings, dict[str, typing.Any]]:
    """Reads a settings file with `[process]` and the section of one role.

    Args:
      path: Path of the file.
      section: Name of the role's section; empty if there is none.
      options: Options of the role's section.

    Returns:
      The common settings, and the values of the role's section by name.

    Raises:
      InvalidFileError: If the file is invalid; lists all problems.
    """
    file = str(path)
    parser = ini.parse_text(ini.read_text(path), file)
    problems: list[ini.Problem] = []
    for name in parser.sections():
        if name not in ("process", section):
            unknown = f"unknown section; known: process {section}".rstrip()
            problems.append(ini.Problem(file, name, "", unknown))
    values = ini.read_section(parser, "process", OPTIONS, file, problems)
    role = ini.read_section(parser, section, options, file, problems)
    if problems:
        raise ini.InvalidFileError(problems)
    secrets = handshake.Secrets(
        values.pop("secret_file"), values.pop("operator_secret_file")
    )
    return ProcessSettings(secrets=secrets, **values), role
