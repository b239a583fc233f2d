"""Reading of INI files against declared options, with all errors at once."""

from __future__ import annotations

import configparser
import re
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc
    import pathlib

MAX_FILE_CHARACTERS = 8 * 1024 * 1024
MAX_NAME_LENGTH = 128
REQUIRED: typing.Final = object()
_WHOLE_NUMBER = re.compile(r"-?[0-9]{1,18}(_[0-9]{3}){0,5}")


@attrs.frozen
class Problem:
    """One fault of a file.

    Attributes:
      file: Name of the file.
      section: Section that holds the fault; empty for the file as a whole.
      option: Option that holds the fault; empty for the section as a whole.
      text: What is wrong and what to write instead.
    """

    file: str
    section: str
    option: str
    text: str

    def __str__(self) -> str:
        """Returns "file: [section] option: text"."""
        place = f" [{self.section}]" if self.section else ""
        option = f" {self.option}" if self.option else ""
        return f"{self.file}:{place}{option}: {self.text}"


class InvalidFileError(Exception):
    """Raised when a file has faults; carries all of them."""

    def __init__(self, problems: collections.abc.Sequence[Problem]) -> None:
        """Carries `problems`, of which there is at least one."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


@attrs.frozen
class Option:
    """Declaration of one option.

    Attributes:
      name: Name in the file, snake case, with its unit as suffix.
      parse: Turns the text into a value; raises ValueError saying what to
        write instead.
      doc: One sentence for docs/CONFIGURATION.md, giving unit and bounds.
      default: Value when the option is absent, or `REQUIRED`.
    """

    name: str
    parse: collections.abc.Callable[[str], typing.Any]
    doc: str
    default: typing.Any = REQUIRED


def read_text(path: pathlib.Path, advice: str = "") -> str:
    """Returns the text of a file.

    Args:
      path: The file.
      advice: What to do if it cannot be read.

    Raises:
      InvalidFileError: If it cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = f"cannot be read: {error}"
        if advice:
            reason += f"; {advice}"
        problem = Problem(str(path), "", "", reason)
        raise InvalidFileError([problem]) from error


def parse_text(text: str, file: str) -> configparser.ConfigParser:
    """Returns the sections of an INI text.

    Raises:
      InvalidFileError: If the text is no INI file.
    """
    if len(text) > MAX_FILE_CHARACTERS:
        limit = f"longer than {MAX_FILE_CHARACTERS} characters; split it"
        raise InvalidFileError([Problem(file, "", "", limit)])
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", inline_comment_prefixes=None
    )
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        raise InvalidFileError([Problem(file, "", "", reason)]) from error
    return parser


def read_section(
    parser: configparser.ConfigParser,
    section: str,
    options: collections.abc.Sequence[Option],
    file: str,
    problems: list[Problem],
) -> dict[str, typing.Any]:
    """Returns the values of a section by option name.

    Faults are appended to `problems`; a faulty option is left out.
    """
    values = dict(parser[section]) if parser.has_section(section) else {}
    known = [option.name for option in options]
    result = {}
    for name in values:
        if name not in known:
            text = f"unknown option; known here: {', '.join(known)}"
            problems.append(Problem(file, section, name, text))
    for option in options:
        if option.name not in values:
            if option.default is REQUIRED:
                text = f"missing; write: {option.name} = ... ({option.doc})"
                problems.append(Problem(file, section, option.name, text))
                continue
            result[option.name] = option.default
            continue
        try:
            result[option.name] = option.parse(values[option.name])
        except ValueError as error:
            text = str(error)
            problems.append(Problem(file, section, option.name, text))
    return result


def integer(minimum: int, maximum: int) -> collections.abc.Callable[[str], int]:
    """Returns a parser of whole numbers within bounds.

    >>> integer(1, 9)("12")
    Traceback (most recent call last):
    ValueError: '12' is not a whole number from 1 to 9
    """

    def parse(text: str) -> int:
        number = int(text) if _WHOLE_NUMBER.fullmatch(text) else None
        if number is None or not minimum <= number <= maximum:
            raise ValueError(
                f"{text!r} is not a whole number from {minimum} to {maximum}"
            )
        return number

    return parse


def number(
    minimum: float, maximum: float
) -> collections.abc.Callable[[str], float]:
    """Returns a parser of numbers within bounds."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            raise ValueError(
                f"{text!r} is not a number from {minimum:g} to {maximum:g}"
            )
        return value

    return parse


def choice(*names: str) -> collections.abc.Callable[[str], str]:
    """Returns a parser that admits only `names`."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(f"{text!r} is none of: {', '.join(names)}")
        return text

    return parse


def yes_or_no(text: str) -> bool:
    """Returns whether the text says yes.

    >>> yes_or_no("no")
    False
    """
    return choice("yes", "no")(text) == "yes"


def name(text: str) -> str:
    """Returns a name of letters, digits, dots, dashes and underscores.

    >>> name("ikeja-1")
    'ikeja-1'
    """
    bare = text.replace("-", "").replace("_", "").replace(".", "")
    if not (bare.isascii() and bare.isalnum()) or len(text) > MAX_NAME_LENGTH:
        raise ValueError(
            f"{text!r} is not a name of 1 to {MAX_NAME_LENGTH} letters, "
            "digits, '.', '-' or '_'"
        )
    return text


def names(text: str) -> tuple[str, ...]:
    """Returns comma-separated names.

    >>> names("a, b")
    ('a', 'b')
    """
    return tuple(name(part.strip()) for part in text.split(",") if part.strip())
