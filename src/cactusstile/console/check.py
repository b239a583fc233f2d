"""Command `check`: validates a fleet file or settings file."""

from __future__ import annotations

import json as json_module
import pathlib

from cactusstile.console import exceptions
from cactusstile.settings import ini
from cactusstile.settings import node
from cactusstile.settings import process
from cactusstile.settings import roles
from cactusstile.state import fleet_file


def run(file: str, *, json: bool = False) -> None:
    """Checks FILE as a whole and lists all faults.

    Args:
      file: Fleet file, or settings file of a process.
      json: Print the faults as JSON.
    """
    path = pathlib.Path(str(file))
    try:
        summary = _summarize(path)
    except ini.InvalidFileError as error:
        if not json:
            raise
        problems = [
            {
                "file": problem.file,
                "section": problem.section,
                "option": problem.option,
                "text": problem.text,
            }
            for problem in error.problems
        ]
        print(json_module.dumps({"valid": False, "problems": problems}))
        raise exceptions.CommandError(
            f"{file} has {len(problems)} faults",
            exceptions.ExitCode.INVALID_FILE,
        ) from error
    if json:
        print(json_module.dumps({"valid": True, "problems": []}))
        return
    print(summary)


def _summarize(path: pathlib.Path) -> str:
    """Loads a file of any kind and returns one line about its content."""
    text = ini.read_text(path)
    parser = ini.parse_text(text, str(path))
    if parser.has_section("node"):
        loaded = node.load(path)
        return f"{path}: settings of {loaded.role} {loaded.name}"
    if not parser.has_section("process"):
        fleet = fleet_file.parse(text, str(path))
        return (
            f"{path}: fleet {fleet.name}, revision {fleet.revision}: "
            f"{len(fleet.workspaces)} workspaces, "
            f"{len(fleet.deployments)} deployments, "
            f"{len(fleet.services)} services, {len(fleet.targets)} targets"
        )
    role_sections = [role for role in roles.OPTIONS if parser.has_section(role)]
    role = role_sections[0] if role_sections else ""
    if role in roles.LOADERS:
        name = roles.LOADERS[role](path).process.name
    else:
        name = process.load(path)[0].name
    return f"{path}: settings of {role or 'a process'} {name}"
