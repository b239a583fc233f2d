"""State machine of the claims group, which lets a request run at most once.

Each claim is a packed record of a few dozen bytes. Its age is measured in
leader time, which advances with `ClaimTick` commands and not with wall clocks:
a jump of a clock expires no claim, and time without a leader does not count.
"""

from __future__ import annotations

import collections
import enum
import hashlib
import struct
import typing

import attrs

from cactusstile.control import claim_messages
from cactusstile.control import commands
from cactusstile.control import snapshot_reader
from cactusstile.transport import exceptions as transport_exceptions

MAX_CLAIMS = 100_000
MAX_WORKSPACE_CLAIMS = 25_000
WORKSPACE_FULL_RETRY_S = 60.0
RETENTION_MS = 24 * 60 * 60 * 1000
MAX_ANSWER_BYTES = 256 * 1024
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
MAX_RELEASED_CLAIMS = 4096
MAX_KEY_LENGTH = 512
MAX_OUTCOME_LENGTH = 64
CLAIM_ID_BYTES = 16
_KEY_BYTES = 16
_DIGEST_BYTES = 16
_RELEASED_ENTRY_BYTES = _KEY_BYTES + CLAIM_ID_BYTES
_WORKSPACE_HASH_BYTES = 8
_RECORD_STRUCT = struct.Struct("<BQQ16s16s8s")
_SNAPSHOT_HEADER = struct.Struct("<QII")


class _StateCode(enum.IntEnum):
    """Encoding of a claim's state in a packed record."""

    RUNNING = 1
    FINISHED = 2
    CLOSED = 3


_STATES_BY_CODE = {
    _StateCode.RUNNING: claim_messages.ClaimState.RUNNING,
    _StateCode.FINISHED: claim_messages.ClaimState.FINISHED,
    _StateCode.CLOSED: claim_messages.ClaimState.CLOSED,
}


@attrs.frozen
class _ClaimRecord:
    """A claim; for a closed key, `incarnation` is the epoch of the closing."""

    code: _StateCode
    claimed_at_ms: int
    incarnation: int
    claim_id: bytes
    digest: bytes
    workspace_hash: bytes
    outcome: str = ""

    def pack(self) -> bytes:
        head = _RECORD_STRUCT.pack(
            self.code,
            self.claimed_at_ms,
            self.incarnation,
            self.claim_id,
            self.digest,
            self.workspace_hash,
        )
        return head + self.outcome.encode()


def _unpack_record(data: bytes) -> _ClaimRecord:
    code, claimed_at_ms, incarnation, claim_id, digest, workspace_hash = (
        _RECORD_STRUCT.unpack_from(data)
    )
    outcome = data[_RECORD_STRUCT.size :].decode()
    return _ClaimRecord(
        _StateCode(code),
        claimed_at_ms,
        incarnation,
        claim_id,
        digest,
        workspace_hash,
        outcome,
    )


class Claims:
    """Claims by the hash of workspace and request key.

    Attributes:
      now_ms: Leader time since the bootstrap of the group.
      max_claims: Maximum number of claims; a full group refuses new ones.
      max_workspace_claims: Maximum number of claims of one workspace, so that
        no workspace can fill the group.
    """

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_workspace_claims: int = MAX_WORKSPACE_CLAIMS,
    ) -> None:
        """Starts empty."""
        self.max_claims = max_claims
        self.max_workspace_claims = max_workspace_claims
        self._reset()

    def _reset(self) -> None:
        self.now_ms = 0
        self._records: dict[bytes, bytes] = {}
        self._claim_counts: collections.Counter[bytes] = collections.Counter()
        self._answers: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._total_answer_bytes = 0
        self._released: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of stored claims."""
        return len(self._records)

    def apply(self, _index: int, command: bytes) -> bytes:
        """Applies a committed command and returns the packed result."""
        try:
            message = commands.unpack(command)
            check(message)
        except (transport_exceptions.ProtocolError, ValueError) as error:
            return commands.pack(commands.refuse("bad_request", str(error)))
        return commands.pack(self._apply(message))

    def _apply(self, message: object) -> object:
        match message:
            case claim_messages.Claim():
                return self._claim(message)
            case claim_messages.FinishClaim():
                return self._finish(message)
            case claim_messages.CloseClaim():
                return self._close(message)
            case claim_messages.ReleaseClaim():
                return self._release(message)
            case claim_messages.ClaimTick():
                return self._tick(message)
        text = f"{type(message).__name__} is no command"
        return commands.refuse("bad_request", text)

    def read(
        self, message: claim_messages.ReadClaim
    ) -> claim_messages.ClaimReply:
        """Returns the state of a key."""
        key = _hash_key(message.workspace, message.request_key)
        digest = _shorten_digest(message.content_digest)
        return self._build_reply(key, digest)

    def _claim(self, message: claim_messages.Claim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        digest = _shorten_digest(message.content_digest)
        if self._is_closed_before_epoch(key, message.epoch):
            self._remove(key)
        if key in self._records:
            record = _unpack_record(self._records[key])
            granted = (
                record.code is _StateCode.RUNNING
                and record.claim_id == message.claim_id
            )
            return self._build_reply(key, digest, granted=granted)
        if key + message.claim_id in self._released:
            return self._build_reply(key, digest)
        workspace_hash = _hash_workspace(message.workspace)
        refusal = self._refuse_if_full(workspace_hash)
        if refusal is not None:
            return refusal
        record = _ClaimRecord(
            _StateCode.RUNNING,
            self.now_ms,
            message.incarnation,
            message.claim_id,
            digest,
            workspace_hash,
        )
        self._insert(key, record)
        return self._build_reply(key, digest, granted=True)

    def _close(self, message: claim_messages.CloseClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        digest = _shorten_digest(message.content_digest)
        if self._is_closed_before_epoch(key, message.epoch):
            self._remove(key)
        if key not in self._records:
            workspace_hash = _hash_workspace(message.workspace)
            refusal = self._refuse_if_full(workspace_hash)
            if refusal is not None:
                return refusal
            no_claim_id = bytes(CLAIM_ID_BYTES)
            record = _ClaimRecord(
                _StateCode.CLOSED,
                self.now_ms,
                message.epoch,
                no_claim_id,
                digest,
                workspace_hash,
            )
            self._insert(key, record)
        return self._build_reply(key, digest)

    def _is_closed_before_epoch(self, key: bytes, epoch: int) -> bool:
        """Returns whether a key was closed at an epoch before `epoch`."""
        data = self._records.get(key)
        if data is None:
            return False
        record = _unpack_record(data)
        return record.code is _StateCode.CLOSED and record.incarnation < epoch

    def _finish(self, message: claim_messages.FinishClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        record = self._find_running(key, message.claim_id)
        if record is not None:
            finished = attrs.evolve(
                record, code=_StateCode.FINISHED, outcome=message.outcome
            )
            self._records[key] = finished.pack()
            self._store_answer(key, message.answer)
        return self._build_reply(key)

    def _release(self, message: claim_messages.ReleaseClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        if self._find_running(key, message.claim_id) is not None:
            self._remove(key)
        if key not in self._records:
            self._record_released(key + message.claim_id)
        return self._build_reply(key)

    def _record_released(self, identity: bytes) -> None:
        """Records a released claim, so that a delayed resend is refused."""
        self._released[identity] = None
        if len(self._released) > MAX_RELEASED_CLAIMS:
            self._released.popitem(last=False)

    def _tick(self, message: claim_messages.ClaimTick) -> object:
        self.now_ms += message.elapsed_ms
        expired = []
        for key, data in self._records.items():
            _, claimed_at_ms, *_ = _RECORD_STRUCT.unpack_from(data)
            if claimed_at_ms + RETENTION_MS > self.now_ms:
                break
            expired.append(key)
        for key in expired:
            self._remove(key)
            answer = self._answers.pop(key, b"")
            self._total_answer_bytes -= len(answer)
        return message

    def _insert(self, key: bytes, record: _ClaimRecord) -> None:
        self._records[key] = record.pack()
        self._claim_counts[record.workspace_hash] += 1

    def _remove(self, key: bytes) -> None:
        workspace_hash = _unpack_record(self._records.pop(key)).workspace_hash
        self._claim_counts[workspace_hash] -= 1
        if not self._claim_counts[workspace_hash]:
            del self._claim_counts[workspace_hash]

    def _find_running(self, key: bytes, claim_id: bytes) -> _ClaimRecord | None:
        data = self._records.get(key)
        if data is None:
            return None
        record = _unpack_record(data)
        if record.code is not _StateCode.RUNNING or record.claim_id != claim_id:
            return None
        return record

    def _store_answer(self, key: bytes, answer: bytes) -> None:
        if len(answer) > MAX_ANSWER_BYTES:
            return
        self._answers[key] = answer
        self._total_answer_bytes += len(answer)
        while self._total_answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            _, dropped = self._answers.popitem(last=False)
            self._total_answer_bytes -= len(dropped)

    def _refuse_if_full(self, workspace_hash: bytes) -> object | None:
        """Returns the refusal of a new claim, or None if there is room."""
        if self._claim_counts[workspace_hash] >= self.max_workspace_claims:
            text = (
                f"the workspace holds {self.max_workspace_claims} claims; "
                "come back later"
            )
            wait_s = WORKSPACE_FULL_RETRY_S
        elif len(self._records) >= self.max_claims:
            oldest = _unpack_record(next(iter(self._records.values())))
            wait_s = (oldest.claimed_at_ms + RETENTION_MS - self.now_ms) / 1000
            text = f"control holds {self.max_claims} claims; come back later"
        else:
            return None
        return commands.refuse("overloaded", text, f"{wait_s:.3f}")

    def _build_reply(
        self, key: bytes, digest: bytes | None = None, *, granted: bool = False
    ) -> claim_messages.ClaimReply:
        data = self._records.get(key)
        states = claim_messages.ClaimState
        if data is None:
            return claim_messages.ClaimReply(False, states.ABSENT.value)
        record = _unpack_record(data)
        closed = record.code is _StateCode.CLOSED
        if digest is not None and record.digest != digest and not closed:
            return claim_messages.ClaimReply(False, states.MISMATCH.value)
        return claim_messages.ClaimReply(
            granted,
            _STATES_BY_CODE[record.code].value,
            record.incarnation,
            record.claim_id,
            record.outcome,
            self._answers.get(key, b""),
            key in self._answers,
        )

    def snapshot(self) -> bytes:
        """Returns the complete state."""
        counts = (self.now_ms, len(self._records), len(self._answers))
        parts = [_SNAPSHOT_HEADER.pack(*counts)]
        for table in (self._records, self._answers):
            for key, value in table.items():
                parts += (
                    key,
                    snapshot_reader.LENGTH.pack(len(value)),
                    value,
                )
        return b"".join([*parts, *self._released])

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot; empty data resets the state.

        Raises:
          SnapshotError: If the snapshot is damaged.
        """
        self._reset()
        if not data:
            return
        reader = snapshot_reader.SnapshotReader(data)
        self.now_ms, records, answers = _SNAPSHOT_HEADER.unpack(
            reader.read(_SNAPSHOT_HEADER.size)
        )
        for _ in range(records):
            key, value = reader.read_entry(_KEY_BYTES)
            self._records[key] = value
            self._claim_counts[_unpack_record(value).workspace_hash] += 1
        for _ in range(answers):
            key, value = reader.read_entry(_KEY_BYTES)
            self._answers[key] = value
            self._total_answer_bytes += len(value)
        while not reader.is_at_end:
            self._record_released(reader.read(_RELEASED_ENTRY_BYTES))


def check(message: object) -> None:
    """Checks the field sizes of a command.

    Raises:
      ValueError: A field is out of bounds; the message names it.
    """
    if isinstance(message, claim_messages.ClaimTick):
        return
    workspace = typing.cast("str", getattr(message, "workspace", ""))
    request_key = typing.cast("str", getattr(message, "request_key", ""))
    if not 0 < len(request_key) <= MAX_KEY_LENGTH:
        raise ValueError(f"a request key has 1 to {MAX_KEY_LENGTH} characters")
    if not 0 < len(workspace) <= MAX_KEY_LENGTH:
        raise ValueError("a claim names a workspace")
    claim_id = getattr(message, "claim_id", None)
    if claim_id is not None and len(claim_id) != CLAIM_ID_BYTES:
        raise ValueError(f"a claim's identity has {CLAIM_ID_BYTES} bytes")
    if len(getattr(message, "outcome", "")) > MAX_OUTCOME_LENGTH:
        raise ValueError(f"an outcome has {MAX_OUTCOME_LENGTH} characters")


def _hash_key(workspace: str, request_key: str) -> bytes:
    name = workspace.encode()
    text = snapshot_reader.LENGTH.pack(len(name)) + name + request_key.encode()
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()


def _hash_workspace(workspace: str) -> bytes:
    return hashlib.blake2b(
        workspace.encode(), digest_size=_WORKSPACE_HASH_BYTES
    ).digest()


def _shorten_digest(digest: bytes) -> bytes:
    return hashlib.blake2b(digest, digest_size=_DIGEST_BYTES).digest()
