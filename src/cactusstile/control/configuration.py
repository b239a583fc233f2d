"""State machine of the configuration group: fleet and fencing numbers."""

from __future__ import annotations

import collections
import collections.abc
import json
import typing

from cactusstile.control import commands
from cactusstile.control import exceptions
from cactusstile.control import messages
from cactusstile.control import revisions
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.transport import exceptions as transport_exceptions

Observer = collections.abc.Callable[[messages.ChangeRecord | None], None]

MAX_RECORDS = 1024
MAX_RECORD_BYTES = 4 * 1024 * 1024
MAX_FENCES = 65_536
MAX_TARGET_NAME_LENGTH = 128
MAX_TAKE_ID_BYTES = 16


class Fence(typing.NamedTuple):
    """Last fencing number of a target.

    Attributes:
      number: The fencing number.
      take_id: Identity of the call that took the number, in hexadecimal; a
        resend of that call gets the same number.
    """

    number: int
    take_id: str


def _ignore_change(_record: messages.ChangeRecord | None) -> None:
    return


class Configuration:
    """The fleet in force, its revision history and fencing numbers by target.

    Attributes:
      fleet: The fleet in force.
      digest: Content digest of `fleet`.
      records: Last accepted changes, limited in count and total bytes.
      fences: Last fencing number by target; entries of removed targets stay.
      observer: Called with each accepted change, and with None after a
        snapshot replaced the state.
    """

    def __init__(self) -> None:
        """Starts with an empty fleet."""
        self.observer: Observer = _ignore_change
        self._reset()

    def _reset(self) -> None:
        self.fleet = model.Fleet()
        self.digest = encoding.content_digest(self.fleet)
        self.records: collections.deque[messages.ChangeRecord] = (
            collections.deque()
        )
        self.fences: dict[str, Fence] = {}
        self._record_bytes = 0
        self._revisions = revisions.RevisionIndex()

    def apply(self, _index: int, command: bytes) -> bytes:
        """Applies a committed command and returns the packed result."""
        try:
            message = commands.unpack(command)
        except transport_exceptions.ProtocolError as error:
            return commands.pack(commands.refuse("bad_request", str(error)))
        if isinstance(message, messages.ApplyChange):
            return commands.pack(self._apply_change(message))
        if isinstance(message, messages.TakeFence):
            return commands.pack(self._take_fence(message))
        text = f"{type(message).__name__} is no command"
        return commands.pack(commands.refuse("bad_request", text))

    def _apply_change(self, change: messages.ApplyChange) -> object:
        reply = self._reply_if_used(change) or self._refuse_unusable_revision(
            change
        )
        if reply is not None:
            return reply
        try:
            fleet, digest = delta.apply_delta(
                self.fleet,
                self.digest,
                delta.unpack(change.body),
                change.revision,
            )
        except ValueError as error:
            return commands.refuse("bad_request", str(error))
        if encoding.digest_bytes(digest) != change.digest:
            text = "the change does not lead to the content that it claims"
            return commands.refuse("bad_request", text)
        self._accept(change, fleet, digest)
        return self._build_reply(
            messages.ApplyOutcome.ACCEPTED, change.revision
        )

    def _refuse_unusable_revision(
        self, change: messages.ApplyChange
    ) -> object | None:
        """Returns the refusal of a revision that cannot be applied, or None."""
        outcome = messages.ApplyOutcome
        if self._revisions.is_discarded(change.revision):
            return self._build_reply(outcome.FORGOTTEN, change.revision)
        if change.revision <= self.fleet.revision:
            return self._build_reply(outcome.LOWER, self.fleet.revision)
        if change.base_revision != self.fleet.revision:
            return self._build_reply(outcome.MOVED, self.fleet.revision)
        return None

    def _reply_if_used(self, change: messages.ApplyChange) -> object | None:
        """Returns the reply to a revision that is already used, or None.

        A resent change gets the same reply as the first one.
        """
        digest = self._revisions.find(change.revision)
        if digest is None:
            return None
        is_same_content = (
            change.digest[: revisions.SHORT_DIGEST_BYTES] == digest
        )
        outcome = messages.ApplyOutcome
        if is_same_content:
            return self._build_reply(outcome.ACCEPTED, change.revision)
        for record in reversed(self.records):
            if record.revision == change.revision:
                return messages.ApplyReply(
                    outcome.TAKEN.value,
                    record.revision,
                    digest,
                    record.operator,
                    record.at_ms,
                )
        return self._build_reply(outcome.TAKEN, change.revision)

    def _build_reply(
        self, outcome: messages.ApplyOutcome, revision: int
    ) -> messages.ApplyReply:
        digest = self._revisions.find(revision) or b""
        return messages.ApplyReply(outcome.value, revision, digest)

    def _accept(
        self, change: messages.ApplyChange, fleet: model.Fleet, digest: int
    ) -> None:
        record = messages.ChangeRecord(
            change.revision,
            self.fleet.revision,
            change.digest,
            change.operator,
            change.at_ms,
            change.body,
        )
        self.fleet = fleet
        self.digest = digest
        self._revisions.add(change.revision, change.digest)
        self._append_record(record)
        self.observer(record)

    def _append_record(self, record: messages.ChangeRecord) -> None:
        self.records.append(record)
        self._record_bytes += len(record.body)
        while (
            len(self.records) > MAX_RECORDS
            or self._record_bytes > MAX_RECORD_BYTES
        ):
            dropped = self.records.popleft()
            self._record_bytes -= len(dropped.body)

    def _take_fence(self, message: messages.TakeFence) -> object:
        target = message.target
        if not target or len(target) > MAX_TARGET_NAME_LENGTH:
            return commands.refuse(
                "bad_request", "target name is empty or too long"
            )
        if target not in self.fences and len(self.fences) >= MAX_FENCES:
            text = f"fencing numbers of {MAX_FENCES} targets are in use"
            return commands.refuse("too_many_targets", text)
        last = self.fences.get(target, Fence(0, ""))
        take_id = message.take_id[:MAX_TAKE_ID_BYTES].hex()
        if not take_id or last.take_id != take_id:
            self.fences[target] = Fence(last.number + 1, take_id)
        return messages.FenceNumber(self.fences[target].number)

    def whole(self) -> messages.FeedDelta:
        """Returns the complete fleet in force as one message."""
        change = delta.diff(model.Fleet(), self.fleet)
        return messages.FeedDelta(
            0,
            self.fleet.revision,
            encoding.digest_bytes(self.digest),
            delta.pack(change),
            whole=True,
        )

    def snapshot(self) -> bytes:
        """Returns the complete state."""
        numbers, digests = self._revisions.dump()
        whole = self.whole()
        image = messages.ConfigurationImage(
            whole.revision,
            whole.body,
            whole.digest,
            tuple(self.records),
            numbers,
            digests,
            json.dumps(self.fences).encode(),
        )
        return commands.pack(image)

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot; empty data resets the state.

        Raises:
          SnapshotError: If the snapshot is damaged.
        """
        self._reset()
        if data:
            image = commands.unpack_image(data, messages.ConfigurationImage)
            self._load_image(typing.cast("messages.ConfigurationImage", image))
        self.observer(None)

    def _load_image(self, image: messages.ConfigurationImage) -> None:
        try:
            change = delta.unpack(image.body)
            self.fleet, self.digest = delta.apply_delta(
                self.fleet, self.digest, change, image.revision
            )
            fences = json.loads(image.fences)
        except ValueError as error:
            raise exceptions.SnapshotError(str(error)) from error
        if encoding.digest_bytes(self.digest) != image.digest:
            raise exceptions.SnapshotError(
                "content digest does not match the fleet"
            )
        self.fences = {name: Fence(*last) for name, last in fences.items()}
        self._revisions.load(image.revisions, image.digests)
        for record in image.records:
            self._append_record(record)


def feed_delta(record: messages.ChangeRecord) -> messages.FeedDelta:
    """Returns the message that delivers an accepted change to nodes."""
    return messages.FeedDelta(
        record.base_revision, record.revision, record.digest, record.body
    )
