"""Settings of the operator commands: the file `operator.ini`."""

from __future__ import annotations

import pathlib
import typing

import attrs

from cactusstile.settings import ini
from cactusstile.settings import process

if typing.TYPE_CHECKING:
    from cactusstile.transport import address

SECTION = "operator"


@attrs.frozen
class OperatorSettings:
    """Settings of an operator.

    Attributes:
      name: Name of the operator, recorded with each change.
      control: Addresses of the control processes.
      secret: Shared secret of the operators.
    """

    name: str
    control: tuple[address.Address, ...]
    secret: bytes = attrs.field(repr=False)


OPTIONS = (
    ini.Option("name", ini.name, "name under which changes are recorded"),
    ini.Option(
        "control",
        process.parse_addresses,
        "addresses of the control processes, separated by commas",
    ),
    ini.Option(
        "operator_secret_file",
        process.read_secret,
        "file with the operators' secret",
    ),
)


def load(path: pathlib.Path) -> OperatorSettings:
    """Reads the settings file of an operator.

    Raises:
      InvalidFileError: If the file is invalid; lists all problems.
    """
    file = str(path)
    advice = f"write [{SECTION}] with name, control and operator_secret_file,"
    advice += " or pass --settings"
    parser = ini.parse_text(ini.read_text(path, advice), file)
    problems = [
        ini.Problem(file, section, "", f"unknown section; known: {SECTION}")
        for section in parser.sections()
        if section != SECTION
    ]
    values = ini.read_section(parser, SECTION, OPTIONS, file, problems)
    if problems:
        raise ini.InvalidFileError(problems)
    secret = values.pop("operator_secret_file")
    return OperatorSettings(secret=secret, **values)
