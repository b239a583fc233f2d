"""Command `holds`: lists and releases requests that are kept from targets."""

from __future__ import annotations

from cactusstile.console import registry_calls


def run(registry: str, release: str = "") -> None:
    """Lists the holds, or releases one.

    Args:
      registry: Address of any registry's operator interface, HOST:PORT.
      release: Id of the hold to release; lists all holds without it.
    """
    if release:
        registry_calls.call(registry, "POST", "/holds/release", id=release)
        print(f"released {release}")
        return
    print(registry_calls.call(registry, "GET", "/holds"))
