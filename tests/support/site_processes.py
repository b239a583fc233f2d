"""Runs all processes of a site, each with its own settings file."""

from __future__ import annotations

import contextlib
import pathlib
import secrets
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

import attrs

from cactusstile.state import keys

if typing.TYPE_CHECKING:
    import collections.abc

ROOT = pathlib.Path(__file__).parent.parent.parent
WORKSPACES = ("bank", "clinic")
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2")
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
HTTP_OK = 200
# Below the kernel's range of ephemeral ports.
FIRST_PORT = 20_000


def draw_host() -> str:
    """Returns a random loopback address."""
    octets = [secrets.randbelow(253) + 1 for _ in range(3)]
    return "127." + ".".join(map(str, octets))


@attrs.define
class Site:
    """A site of real processes.

    Attributes:
      folder: Folder of settings, logs and data.
      host: Loopback address of this site only, so that neither other test
        runs nor outgoing connections take its ports.
      keys: Callers' keys by workspace.
      ports: Ports by name of the listener.
      processes: Running processes by name.
    """

    folder: pathlib.Path
    host: str = attrs.field(factory=draw_host)
    keys: dict[str, str] = attrs.field(factory=dict)
    ports: dict[str, int] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def port(self, name: str) -> int:
        """Returns the port of `name`; the first call assigns the next one."""
        if name not in self.ports:
            self.ports[name] = FIRST_PORT + len(self.ports)
        return self.ports[name]

    def write(self, name: str, text: str) -> pathlib.Path:
        """Writes a file to the site's folder and returns its path."""
        path = self.folder / name
        path.write_text(text)
        return path

    def start(self, name: str, *command: str) -> None:
        """Starts a Python module with arguments as process `name`."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", *command],
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def start_role(self, role: str, name: str, section: str) -> None:
        """Writes the settings of a process and starts it."""
        text = self.settings(name) + section
        path = self.write(f"{name}.ini", text)
        self.start(name, "cactusstile", role, "--settings", str(path))

    def settings(self, name: str) -> str:
        """Returns the `[process]` section of a process."""
        control = ", ".join(
            f"{self.host}:{self.port(f'control-{number}')}"
            for number in (1, 2, 3)
        )
        return (
            f"[process]\nname = {name}\ndata_centre = ikeja\n"
            f"listen = {self.host}:{self.port(name)}\n"
            f"admin_listen = {self.host}:{self.port(name + '-admin')}\n"
            f"control = {control}\n"
            f"secret_file = {self.folder / 'fleet.secret'}\n"
            f"operator_secret_file = {self.folder / 'operator.secret'}\n\n"
        )

    def write_operator(self) -> pathlib.Path:
        """Writes the settings of an operator and returns their path."""
        control = ", ".join(
            f"{self.host}:{self.port(f'control-{number}')}"
            for number in (1, 2, 3)
        )
        return self.write(
            "operator.ini",
            f"[operator]\nname = tester\ncontrol = {control}\n"
            f"operator_secret_file = {self.folder / 'operator.secret'}\n",
        )

    def run_command(self, *command: str) -> subprocess.CompletedProcess[str]:
        """Runs a `cactusstile` command until it exits."""
        return subprocess.run(  # noqa: S603
            [sys.executable, "-m", "cactusstile", *command],
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
            check=False,
            cwd=self.folder,
        )

    def stop(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def get(self, name: str, path: str) -> tuple[int, str]:
        """Returns status and text of a process's admin page.

        The status is 0 if the process does not respond.
        """
        url = f"http://{self.host}:{self.port(name + '-admin')}{path}"
        try:
            with urllib.request.urlopen(url, timeout=2) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""
        except OSError:
            return 0, ""

    def wait_ready(self, name: str) -> None:
        """Waits until a process is ready.

        Raises:
          TimeoutError: It is not ready in time; the text has the end of its
            log.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while self.get(name, "/readyz")[0] != HTTP_OK:
            if time.monotonic() > deadline_s:
                log = (self.folder / f"{name}.log").read_text()
                raise TimeoutError(f"{name} is not ready: {log[-2000:]}")
            time.sleep(0.05)

    def close(self) -> None:
        """Kills all running processes."""
        for name in list(self.processes):
            self.kill(name)


def fleet_text(site: Site, revision: int = 1) -> str:
    """Returns the text of the site's fleet file."""
    sections = [f"[fleet]\nname = test\nrevision = {revision}\n"]
    for workspace in WORKSPACES:
        if workspace not in site.keys:
            site.keys[workspace] = keys.new_key()
        hashed = keys.hash_key(site.keys[workspace])
        sections.append(f"[workspace {workspace}]\nkey_hashes = {hashed}\n")
    sections.append("[deployment chat]\nmodel = model\nversion = v1\n")
    sections.append("[service inventory]\ntimeout_s = 5\n")
    sections.append("[link ikeja lekki]\nbytes_per_s = 4000000\n")
    for name, kind, serves in (
        ("engine-1", "engine", "serves = chat"),
        ("engine-2", "engine", "serves = chat"),
        ("service-1", "service", "serves = inventory"),
        ("store-1", "store", ""),
    ):
        sections.append(
            f"[target {name}]\nkind = {kind}\ndata_centre = ikeja\n"
            f"agent = {site.host}:{site.port(name)}\n{serves}\n"
        )
    return "\n".join(sections)


@contextlib.contextmanager
def open_site(
    folder: pathlib.Path,
) -> collections.abc.Iterator[Site]:
    """Runs a site of control, entries, agents, fake targets and a store."""
    site = Site(folder)
    try:
        site.write("fleet.secret", "fleet-secret-of-the-tests")
        site.write("operator.secret", "operator-secret-of-tests")
        for name in CONTROLS:
            start_control(site, name)
        for name in ENTRIES:
            start_entry(site, name)
        for name, kind in (
            ("engine-1", "engine"),
            ("engine-2", "engine"),
            ("service-1", "service"),
        ):
            start_target(site, name, kind)
        _start_store(site)
        yield site
    finally:
        site.close()


def start_target(site: Site, name: str, kind: str) -> None:
    """Starts a fake target and its agent."""
    port = site.port(f"{name}-target")
    ledger = str(site.folder / f"{name}-ledger.json")
    site.start(
        f"{name}-target",
        "tests.support.fake_target",
        kind,
        f"{site.host}:{port}",
        ledger,
    )
    start_agent(site, name, kind)


def start_agent(site: Site, name: str, kind: str, target: str = "") -> None:
    """Starts the agent of a fake target that already runs.

    Args:
      site: The site.
      name: Name of the process.
      kind: Kind of the target.
      target: Name of the target; empty if it is that of the process.
    """
    target = target or name
    port = site.port(f"{target}-target")
    section = (
        f"[agent]\nkind = {kind}\ntarget = {target}\n"
        f"url = http://{site.host}:{port}\n"
    )
    site.start_role("agent", name, section)


def start_entry(site: Site, name: str) -> None:
    """Starts an entry."""
    port = site.port(f"{name}-callers")
    section = f"[entry]\ncallers_listen = {site.host}:{port}\n"
    site.start_role("entry", name, section + "drain_delay_s = 0.1\n")


def start_control(site: Site, name: str) -> None:
    """Starts a control process."""
    founders = ", ".join(
        f"{founder}={site.host}:{site.port(founder)}" for founder in CONTROLS
    )
    data = site.folder / f"{name}-data"
    section = f"[control]\ndata_folder = {data}\nfounders = {founders}\n"
    site.start_role("control", name, section)


def _start_store(site: Site) -> None:
    section = (
        "[agent]\nkind = store\ntarget = store-1\n"
        f"data_folder = {site.folder / 'store-1-data'}\n"
        "memory_bytes = 10000000\ndisk_bytes = 100000000\n"
    )
    site.start_role("agent", "store-1", section)
