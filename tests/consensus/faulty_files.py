"""Simulated folder of a replica."""

from __future__ import annotations

import errno
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc


@attrs.define
class FaultyFile:
    """A file whose unsynced writes are lost or torn by a crash."""

    files: FaultyFiles
    name: str

    def write(self, data: bytes) -> None:
        if self.files.fault == "enospc":
            self.files.content[self.name] += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "no space left on device")
        self.files.content[self.name] += data

    def sync(self) -> None:
        if self.files.fault == "eio":
            self.files.dropped.add(self.name)
            raise OSError(errno.EIO, "input/output error")
        self.files.syncs += 1
        if self.name in self.files.dropped:
            return
        content = self.files.content[self.name]
        self.files.durable[self.name] = bytes(content)

    def close(self) -> None:
        pass


@attrs.define
class FaultyFiles:
    """An in-memory folder that can lose unsynced data, fill up and fail.

    As in a kernel, a failed sync drops the file's unsynced pages: they can be
    read, but no later sync writes them.
    """

    content: dict[str, bytearray] = attrs.field(factory=dict)
    durable: dict[str, bytes] = attrs.field(factory=dict)
    dropped: set[str] = attrs.field(factory=set)
    replaced: dict[str, bytes | None] = attrs.field(factory=dict)
    fault: str = ""
    syncs: int = 0

    def names(self) -> list[str]:
        return sorted(self.content)

    def read(self, name: str) -> bytes:
        return bytes(self.content[name])

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self.content[name][offset : offset + size])

    def open_append(self, name: str) -> FaultyFile:
        self.content.setdefault(name, bytearray())
        return FaultyFile(self, name)

    def truncate(self, name: str, size: int) -> None:
        del self.content[name][size:]
        self.durable[name] = bytes(self.content[name])

    def rewrite(self, name: str, offset: int, data: bytes) -> None:
        assert offset <= len(self.durable.get(name, b""))
        self.content[name][offset : offset + len(data)] = data
        self.dropped.discard(name)
        self.open_append(name).sync()

    def rename(self, source: str, target: str) -> None:
        self.replaced.setdefault(target, self.durable.get(target))
        self.content[target] = self.content.pop(source)
        self.durable[target] = self.durable.pop(source)

    def remove(self, name: str) -> None:
        del self.content[name]
        self.durable.pop(name, None)

    def sync_folder(self) -> None:
        if self.fault == "eio":
            raise OSError(errno.EIO, "input/output error")
        self.syncs += 1
        self.replaced.clear()

    def crash(self, mangle: collections.abc.Callable[[bytes], bytes]) -> None:
        """Keeps synced data, and what `mangle` returns of unsynced data."""
        self.fault = ""
        self.dropped.clear()
        for name, before in self.replaced.items():
            self.content[name] = bytearray(before or b"")
            self.durable[name] = before or b""
        self.replaced.clear()
        for name in list(self.content):
            durable = self.durable.get(name, b"")
            rest = bytes(self.content[name][len(durable) :])
            self.content[name] = bytearray(durable + mangle(rest))
