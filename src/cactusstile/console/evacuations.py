"""Command `evacuations`: lists, begins and ends evacuations."""

from __future__ import annotations

import urllib.parse

from cactusstile.console import exceptions
from cactusstile.console import registry_calls


def run(registry: str, begin: str = "", end: str = "") -> None:
    """Lists the evacuated data centres, or changes one.

    Args:
      registry: Address of any registry's operator interface, HOST:PORT.
      begin: Data centre whose targets shall receive nothing new.
      end: Data centre that shall be used again.

    Raises:
      CommandError: Both were given, or the change was not accepted.
    """
    if begin and end:
        raise exceptions.CommandError(
            "give --begin or --end, not both", exceptions.ExitCode.USAGE
        )
    if not begin and not end:
        print(registry_calls.call(registry, "GET", "/evacuations"))
        return
    method, name = ("PUT", begin) if begin else ("DELETE", end)
    path = f"/evacuations/{urllib.parse.quote(name, safe='')}"
    registry_calls.call(registry, method, path)
    print(f"{'evacuated' if begin else 'in use again'}: {name}")
