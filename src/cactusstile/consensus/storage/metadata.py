"""Durable term, vote and identity of a replica, in one small file."""

from __future__ import annotations

import json
import zlib

import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus.storage import files as file_access
from cactusstile.consensus.storage import segments

FILE_NAME = "metadata"


@attrs.frozen
class Metadata:
    """Content of the metadata file.

    Attributes:
      name: Name of the replica.
      incarnation: Random number of this data folder.
      group: Identity of the group; empty before it joined one.
      term: Current term.
      vote: Member that got the vote in this term; empty if no vote was cast.
      segment: Number of the newest durable log segment.
    """

    name: str
    incarnation: int
    group: str = ""
    term: int = 0
    vote: str = ""
    segment: int = 0


def save(files: file_access.Files, metadata: Metadata) -> None:
    """Replaces the durable metadata."""
    body = json.dumps(attrs.asdict(metadata)).encode()
    checksum = zlib.crc32(body)
    file_access.replace_atomically(
        files, FILE_NAME, [b"%08x\n" % checksum, body]
    )


def load(files: file_access.Files) -> Metadata | None:
    """Returns the metadata; None if the folder is empty.

    Raises:
      CorruptStorageError: The file is damaged, or missing while log segments
        exist.
    """
    if FILE_NAME not in files.names():
        if segments.has_segments(files):
            raise exceptions.CorruptStorageError(
                f"metadata is missing although a log exists; {segments.REMEDY}"
            )
        return None
    checksum, _, body = files.read(FILE_NAME).partition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        raise exceptions.CorruptStorageError(
            f"metadata is damaged; {segments.REMEDY}"
        )
    return Metadata(**json.loads(body))
