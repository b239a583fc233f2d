"""Term, vote and identity of a replica in one small file."""

from __future__ import annotations

import json
import zlib

import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import segments

NAME = "metadata"


@attrs.frozen
class Metadata:
    """Content of the metadata file.

    Attributes:
      name: Name of the replica.
      incarnation: Random number of this data folder.
      group: Identity of the group; empty before it joined one.
      term: Present term.
      vote: Member that got the vote in this term; empty if none.
      segment: Number of the newest log segment that was made durable.
    """

    name: str
    incarnation: int
    group: str = ""
    term: int = 0
    vote: str = ""
    segment: int = 0


def save(files: file_access.Files, metadata: Metadata) -> None:
    """Replaces the metadata durably."""
    body = json.dumps(attrs.asdict(metadata)).encode()
    checksum = zlib.crc32(body)
    file_access.replace(files, NAME, [b"%08x\n" % checksum, body])


def load(files: file_access.Files) -> Metadata | None:
    """Returns the metadata; None in an empty folder.

    Raises:
      CorruptStorageError: The file is damaged, or missing beside a log.
    """
    if NAME not in files.names():
        if segments.exist(files):
            raise exceptions.CorruptStorageError(
                f"metadata is missing beside the log; {segments.REMEDY}"
            )
        return None
    checksum, _, body = files.read(NAME).partition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        raise exceptions.CorruptStorageError(
            f"metadata is damaged; {segments.REMEDY}"
        )
    return Metadata(**json.loads(body))
