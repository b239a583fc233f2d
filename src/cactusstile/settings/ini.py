"""INI files validated against declared options, reporting all problems."""

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
_INTEGER = re.compile(r"-?[0-9]{1,18}(_[0-9]{3}){0,5}")


@attrs.frozen
class Problem:
    """One problem in a settings or fleet file.

    Attributes:
      file: Name of the file.
      section: Section with the problem; empty if it concerns the whole file.
      option: Option with the problem; empty if it concerns the whole section.
      text: Description of the problem and of what to write instead.
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
    """Raised when a file is invalid.

    Attributes:
      problems: The problems found, at least one.
    """

    def __init__(self, problems: collections.abc.Sequence[Problem]) -> None:
        """Builds the message from `problems`, one line each."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


@attrs.frozen
class Option:
    """Declaration of one option.

    Attributes:
      name: Name in the file, in snake case, with the unit as suffix.
      parse: Converts the text to a value; raises ValueError with a message
        that describes the valid values.
      doc: One sentence for docs/CONFIGURATION.md, with unit and bounds.
      default: Value used when the option is absent, or `REQUIRED`.
    """

    name: str
    parse: collections.abc.Callable[[str], typing.Any]
    doc: str
    default: typing.Any = REQUIRED


def read_text(path: pathlib.Path, advice: str = "") -> str:
    """Returns the text of a file.

    Args:
      path: Path of the file.
      advice: Hint appended to the error message if the file is unreadable.

    Raises:
      InvalidFileError: If the file cannot be read or is not valid UTF-8.
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
    """Parses INI text without checking its options.

    Args:
      text: Content of the file.
      file: Name of the file for error messages.

    Raises:
      InvalidFileError: If the text is not valid INI, or exceeds
        `MAX_FILE_CHARACTERS`.
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
    """Returns the parsed values of a section by option name.

    Problems are appended to `problems`; invalid options are omitted from the
    result.
    """
    values = dict(parser[section]) if parser.has_section(section) else {}
    valid_names = [option.name for option in options]
    result = {}
    for name in values:
        if name not in valid_names:
            text = f"unknown option; known here: {', '.join(valid_names)}"
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
    """Returns a parser of integers from `minimum` to `maximum`.

    >>> integer(1, 9)("12")
    Traceback (most recent call last):
    ValueError: '12' is not a whole number from 1 to 9
    """

    def parse(text: str) -> int:
        number = int(text) if _INTEGER.fullmatch(text) else None
        if number is None or not minimum <= number <= maximum:
            raise ValueError(
                f"{text!r} is not a whole number from {minimum} to {maximum}"
            )
        return number

    return parse


def number(
    minimum: float, maximum: float
) -> collections.abc.Callable[[str], float]:
    """Returns a parser of numbers from `minimum` to `maximum`."""

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
    """Returns a parser that accepts only `names`."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(f"{text!r} is not one of: {', '.join(names)}")
        return text

    return parse


def yes_or_no(text: str) -> bool:
    """Parses "yes" or "no".

    >>> yes_or_no("no")
    False
    """
    return choice("yes", "no")(text) == "yes"


def name(text: str) -> str:
    """Parses a name of letters, digits, dots, dashes and underscores.

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
    """Parses comma-separated names.

    >>> names("a, b")
    ('a', 'b')
    """
    return tuple(name(part.strip()) for part in text.split(",") if part.strip())
