"""Command `local`: runs a complete site in one process."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile

from cactusstile import event_loops
from cactusstile.console import exceptions
from cactusstile.console import signals
from cactusstile.local import demonstration
from cactusstile.local import site as local_site
from cactusstile.observability import logs
from cactusstile.settings import ini
from cactusstile.state import fleet_file
from cactusstile.transport import address

KEYS_FILE = "demo-keys.ini"


def run(
    fleet: str = "examples/ledgerfield/fleet.ini",
    listen: str = "127.0.0.1:8080",
    admin: str = "127.0.0.1:8081",
    data: str = "",
    *,
    demo: bool = False,
    stay: bool = True,
) -> None:
    """Runs all roles and fake targets in this process.

    Args:
      fleet: Fleet file.
      listen: Address for callers.
      admin: Address for metrics and the state dump.
      data: Folder of durable state; a temporary one by default.
      demo: Show a repeated prompt that its engine evicted from its cache.
      stay: Keep serving until interrupted.
    """
    path = pathlib.Path(fleet)
    if not path.exists():
        raise exceptions.CommandError(
            f"no fleet file {fleet}; run from the project's folder or pass "
            "--fleet",
            exceptions.ExitCode.USAGE,
        )
    logs.configure("local", "local", "warning")
    declared = fleet_file.read(path)
    keys = _read_keys(path.with_name(KEYS_FILE))
    with contextlib.ExitStack() as stack:
        folder = data or stack.enter_context(tempfile.TemporaryDirectory())
        settings = local_site.LocalSettings(
            declared,
            pathlib.Path(folder),
            _parse_address(listen),
            _parse_address(admin),
        )
        event_loops.run(_serve, settings, keys, demo, stay)


def _parse_address(text: str) -> address.Address:
    try:
        return address.parse(text)
    except ValueError as error:
        raise exceptions.CommandError(
            str(error), exceptions.ExitCode.USAGE
        ) from error


async def _serve(
    settings: local_site.LocalSettings,
    keys: dict[str, str],
    demo: bool,
    stay: bool,
) -> None:
    async with local_site.open_site(settings) as site:
        deployment = next(iter(settings.fleet.deployments))
        key = next(iter(keys.values()), "KEY")
        bound = site.entry.callers_address()
        print(f"{settings.fleet.name} serves callers on http://{bound}")
        print(f"metrics and state: http://{site.entry.admin.bound}/dump")
        print(_format_curl_command(bound, deployment, key), flush=True)
        if demo:
            await demonstration.show(site, deployment, key, _print_line)
        if stay:
            print("stop with Ctrl-C", flush=True)
            await signals.wait_for_stop()
            await site.entry.drain()


def _print_line(line: str) -> None:
    print(line, flush=True)


def _format_curl_command(
    bound: address.Address, deployment: str, key: str
) -> str:
    body = (
        f'{{"model": "{deployment}", "stream": true, "messages": '
        '[{"role": "user", "content": "Which assets are missing?"}]}'
    )
    return (
        f"curl -N http://{bound}/v1/chat/completions "
        f"-H 'Authorization: Bearer {key}' "
        f"-H 'Content-Type: application/json' -d '{body}'"
    )


def _read_keys(path: pathlib.Path) -> dict[str, str]:
    if not path.exists():
        return {}
    parser = ini.parse_text(path.read_text(encoding="utf-8"), str(path))
    return dict(parser["keys"]) if parser.has_section("keys") else {}
