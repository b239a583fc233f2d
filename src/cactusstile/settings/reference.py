"""Renders docs/CONFIGURATION.md from the declared options."""

from __future__ import annotations

import typing

from cactusstile.settings import ini
from cactusstile.settings import node
from cactusstile.settings import operator
from cactusstile.settings import process
from cactusstile.settings import roles
from cactusstile.state import fleet_file

if typing.TYPE_CHECKING:
    import collections.abc

_INVALID_VALUE = "?"
_INTRODUCTION = """# Configuration

Two kinds of INI file: settings of one process, and the fleet file that
operators apply as a whole. Both are checked whole: `cactusstile check FILE`
lists all faults at once. This page is rendered from the declarations by
`python -m cactusstile.settings.reference`.
"""


def render() -> str:
    """Returns the content of docs/CONFIGURATION.md."""
    parts = [_INTRODUCTION, "## Settings of a process\n"]
    parts.append(_render_section("[process]", process.OPTIONS))
    for role, options in roles.OPTIONS.items():
        parts.append(_render_section(f"[{role}]", options))
    parts.append("## Settings of a gateway or a registry\n")
    for section, options in node.OPTIONS.items():
        parts.append(_render_section(f"[{section}]", options))
    parts.append("## Settings of an operator\n")
    parts.append(_render_section("[operator]", operator.OPTIONS))
    parts.append("## Fleet file\n")
    parts.append(_render_section("[fleet]", fleet_file.FLEET))
    for kind, options in fleet_file.SECTIONS.items():
        names = "A B" if kind == "link" else "NAME"
        parts.append(_render_section(f"[{kind} {names}]", options))
    return "\n".join(parts)


def describe_accepted(option: ini.Option) -> str:
    """Describes the values that an option accepts.

    The description is taken from the parser's error message.

    >>> describe_accepted(ini.Option("size", ini.integer(1, 9), ""))
    'a whole number from 1 to 9'
    """
    if option.name.endswith("_file") or option.name.startswith("tls_"):
        return "the path of a file"
    try:
        option.parse(_INVALID_VALUE)
    except ValueError as error:
        text = str(error)
        for prefix in (
            f"{_INVALID_VALUE!r} is not one of: ",
            f"{_INVALID_VALUE!r} is not ",
            "not ",
        ):
            text = text.removeprefix(prefix)
        return text.replace("|", "\\|")
    return "text"


def _render_section(
    title: str, options: collections.abc.Sequence[ini.Option]
) -> str:
    lines = [
        f"### `{title}`",
        "",
        "| option | default | accepts | meaning |",
        "|---|---|---|---|",
    ]
    for option in options:
        default = _render_default(option.default)
        meaning = option.doc[:1].upper() + option.doc[1:].rstrip(".")
        lines.append(
            f"| `{option.name}` | {default} | {describe_accepted(option)}"
            f" | {meaning}. |"
        )
    return "\n".join([*lines, ""])


def _render_default(default: object) -> str:
    if default is ini.REQUIRED:
        return "required"
    if isinstance(default, bool):
        return "`yes`" if default else "`no`"
    if isinstance(default, tuple):
        return f"`{', '.join(default)}`" if default else "none"
    return f"`{default}`" if default not in ("", b"") else "none"


if __name__ == "__main__":
    print(render(), end="")
