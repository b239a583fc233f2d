"""Settings of a control process."""

from __future__ import annotations

import pathlib

import attrs

from cactusstile.consensus import replica_settings
from cactusstile.settings import ini
from cactusstile.settings import process
from cactusstile.transport import address

CONFIGURATION_GROUP = "configuration"
CLAIMS_GROUP = "claims"
GROUPS = (CONFIGURATION_GROUP, CLAIMS_GROUP)


@attrs.frozen
class ControlSettings:
    """Settings of one control process.

    Attributes:
      process: Settings common to all roles.
      data_folder: Folder of the durable state.
      founders: Replicas that bootstrap the groups, the same on all control VMs.
      advertise: Address at which the other control VMs reach this process, if
        it differs from the listen address.
      group_commit: Whether one sync makes several commands durable.
      sync_in_thread: Whether syncs run in a worker thread.
      founded: Groups that exist, for all that this process knows; it must not
        found them again with an empty folder.
    """

    process: process.ProcessSettings
    data_folder: pathlib.Path
    founders: tuple[replica_settings.Founder, ...]
    advertise: address.Address | None = None
    group_commit: bool = True
    sync_in_thread: bool = True
    founded: frozenset[str] = frozenset()

    @property
    def own_address(self) -> address.Address:
        """Address at which the other control VMs reach this process."""
        return self.advertise or self.process.listen

    def for_group(self, group: str) -> replica_settings.ReplicaSettings:
        """Returns the settings of the local replica of a group."""
        name = self.process.name
        founders = self.founders
        if group in self.founded:
            founders = tuple(each for each in founders if each.name != name)
        return replica_settings.ReplicaSettings(
            name=name,
            address=str(self.own_address),
            data_folder=self.data_folder / group,
            founders=founders,
            max_command_bytes=MAX_COMMAND_BYTES,
            group_commit=self.group_commit,
            sync_in_thread=self.sync_in_thread,
        )


MAX_COMMAND_BYTES = 3 * 1024 * 1024 + 4096


def _parse_founders(text: str) -> tuple[replica_settings.Founder, ...]:
    founders = []
    for part in filter(
        None, (entry_text.strip() for entry_text in text.split(","))
    ):
        name, separator, address_text = part.partition("=")
        if not separator:
            raise ValueError(f"{part!r} is not like control-1=10.0.0.1:7000")
        parsed = address.parse(address_text.strip())
        founders.append(
            replica_settings.Founder(ini.name(name.strip()), str(parsed))
        )
    if not founders:
        raise ValueError("write founders like control-1=10.0.0.1:7000")
    return tuple(founders)


def _parse_folder(text: str) -> pathlib.Path:
    if not text:
        raise ValueError("write the path of a folder")
    return pathlib.Path(text)


OPTIONS = (
    ini.Option("data_folder", _parse_folder, "folder of the durable state"),
    ini.Option(
        "founders",
        _parse_founders,
        "replicas that found the groups, as NAME=ADDRESS with commas; the "
        "same on all control VMs, never changed later",
    ),
    ini.Option(
        "advertise",
        address.parse,
        "address that the others send to, if it is not the one listened on",
        None,
    ),
    ini.Option(
        "group_commit",
        ini.yes_or_no,
        "whether one sync serves many commands",
        True,
    ),
)


def load(path: pathlib.Path) -> ControlSettings:
    """Reads the settings file of a control process.

    Raises:
      InvalidFileError: The file is invalid; the error lists all problems.
    """
    common, values = process.load(path, "control", OPTIONS)
    return ControlSettings(common, **values)
