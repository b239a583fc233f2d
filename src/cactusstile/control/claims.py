"""State machine of the claims group: requests that run at most once.

A claim is held packed in a few dozen bytes. Its age is counted in time that
passed under a leader, as `ClaimTick` commands report it, never by wall clocks:
a clock that jumps forgets no claim, and time without a leader does not count.
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
MAX_ANSWERS_BYTES = 16 * 1024 * 1024
MAX_RELEASED = 4096
MAX_KEY_LENGTH = 512
MAX_OUTCOME_LENGTH = 64
CLAIM_ID_BYTES = 16
_KEY_BYTES = 16
_DIGEST_BYTES = 16
_RELEASED_BYTES = _KEY_BYTES + CLAIM_ID_BYTES
_OWNER_BYTES = 8
_RECORD = struct.Struct("<BQQ16s16s8s")
_COUNTS = struct.Struct("<QII")


class _Code(enum.IntEnum):
    """Byte that stands for a state in a record."""

    RUNNING = 1
    FINISHED = 2
    CLOSED = 3


_STATES = {
    _Code.RUNNING: claim_messages.ClaimState.RUNNING,
    _Code.FINISHED: claim_messages.ClaimState.FINISHED,
    _Code.CLOSED: claim_messages.ClaimState.CLOSED,
}


@attrs.frozen
class _Record:
    """A claim; `incarnation` of a closed one is the epoch of the closing."""

    code: _Code
    claimed_at_ms: int
    incarnation: int
    claim_id: bytes
    digest: bytes
    owner: bytes
    outcome: str = ""

    def pack(self) -> bytes:
        head = _RECORD.pack(
            self.code,
            self.claimed_at_ms,
            self.incarnation,
            self.claim_id,
            self.digest,
            self.owner,
        )
        return head + self.outcome.encode()


def _unpack(data: bytes) -> _Record:
    code, claimed_at_ms, incarnation, claim_id, digest, owner = (
        _RECORD.unpack_from(data)
    )
    outcome = data[_RECORD.size :].decode()
    return _Record(
        _Code(code),
        claimed_at_ms,
        incarnation,
        claim_id,
        digest,
        owner,
        outcome,
    )


class Claims:
    """Claims by the hash of workspace and request key.

    Attributes:
      now_ms: Time that passed under leaders since the group was founded.
      max_claims: Bound on claims; a full group refuses new ones.
      max_workspace_claims: Bound on the claims of one workspace, so that none
        fills the group.
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
        self._owned: collections.Counter[bytes] = collections.Counter()
        self._answers: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0
        self._released: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of claims held."""
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
        digest = _shorten(message.content_digest)
        return self._describe(key, digest)

    def _claim(self, message: claim_messages.Claim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        digest = _shorten(message.content_digest)
        if self._is_closed_before(key, message.epoch):
            self._remove(key)
        if key in self._records:
            record = _unpack(self._records[key])
            granted = (
                record.code is _Code.RUNNING
                and record.claim_id == message.claim_id
            )
            return self._describe(key, digest, granted=granted)
        if key + message.claim_id in self._released:
            return self._describe(key, digest)
        owner = _hash_owner(message.workspace)
        refusal = self._refuse_full(owner)
        if refusal is not None:
            return refusal
        record = _Record(
            _Code.RUNNING,
            self.now_ms,
            message.incarnation,
            message.claim_id,
            digest,
            owner,
        )
        self._insert(key, record)
        return self._describe(key, digest, granted=True)

    def _close(self, message: claim_messages.CloseClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        digest = _shorten(message.content_digest)
        if self._is_closed_before(key, message.epoch):
            self._remove(key)
        if key not in self._records:
            owner = _hash_owner(message.workspace)
            refusal = self._refuse_full(owner)
            if refusal is not None:
                return refusal
            nobody = bytes(CLAIM_ID_BYTES)
            record = _Record(
                _Code.CLOSED, self.now_ms, message.epoch, nobody, digest, owner
            )
            self._insert(key, record)
        return self._describe(key, digest)

    def _is_closed_before(self, key: bytes, epoch: int) -> bool:
        """Tells whether a key is closed to epochs below `epoch` only."""
        data = self._records.get(key)
        if data is None:
            return False
        record = _unpack(data)
        return record.code is _Code.CLOSED and record.incarnation < epoch

    def _finish(self, message: claim_messages.FinishClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        record = self._find_running(key, message.claim_id)
        if record is not None:
            finished = attrs.evolve(
                record, code=_Code.FINISHED, outcome=message.outcome
            )
            self._records[key] = finished.pack()
            self._keep_answer(key, message.answer)
        return self._describe(key)

    def _release(self, message: claim_messages.ReleaseClaim) -> object:
        key = _hash_key(message.workspace, message.request_key)
        if self._find_running(key, message.claim_id) is not None:
            self._remove(key)
        if key not in self._records:
            self._remember_released(key + message.claim_id)
        return self._describe(key)

    def _remember_released(self, identity: bytes) -> None:
        """Keeps a late copy of a claim that was given back from claiming."""
        self._released[identity] = None
        if len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)

    def _tick(self, message: claim_messages.ClaimTick) -> object:
        self.now_ms += message.elapsed_ms
        expired = []
        for key, data in self._records.items():
            _, claimed_at_ms, *_ = _RECORD.unpack_from(data)
            if claimed_at_ms + RETENTION_MS > self.now_ms:
                break
            expired.append(key)
        for key in expired:
            self._remove(key)
            answer = self._answers.pop(key, b"")
            self._answers_bytes -= len(answer)
        return message

    def _insert(self, key: bytes, record: _Record) -> None:
        self._records[key] = record.pack()
        self._owned[record.owner] += 1

    def _remove(self, key: bytes) -> None:
        owner = _unpack(self._records.pop(key)).owner
        self._owned[owner] -= 1
        if not self._owned[owner]:
            del self._owned[owner]

    def _find_running(self, key: bytes, claim_id: bytes) -> _Record | None:
        data = self._records.get(key)
        if data is None:
            return None
        record = _unpack(data)
        if record.code is not _Code.RUNNING or record.claim_id != claim_id:
            return None
        return record

    def _keep_answer(self, key: bytes, answer: bytes) -> None:
        if len(answer) > MAX_ANSWER_BYTES:
            return
        self._answers[key] = answer
        self._answers_bytes += len(answer)
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            _, dropped = self._answers.popitem(last=False)
            self._answers_bytes -= len(dropped)

    def _refuse_full(self, owner: bytes) -> object | None:
        """Returns the refusal of one more claim, or None if there is room."""
        if self._owned[owner] >= self.max_workspace_claims:
            text = (
                f"the workspace holds {self.max_workspace_claims} claims; "
                "come back later"
            )
            wait_s = WORKSPACE_FULL_RETRY_S
        elif len(self._records) >= self.max_claims:
            oldest = _unpack(next(iter(self._records.values())))
            wait_s = (oldest.claimed_at_ms + RETENTION_MS - self.now_ms) / 1000
            text = f"control holds {self.max_claims} claims; come back later"
        else:
            return None
        return commands.refuse("overloaded", text, f"{wait_s:.3f}")

    def _describe(
        self, key: bytes, digest: bytes | None = None, *, granted: bool = False
    ) -> claim_messages.ClaimReply:
        data = self._records.get(key)
        states = claim_messages.ClaimState
        if data is None:
            return claim_messages.ClaimReply(False, states.ABSENT.value)
        record = _unpack(data)
        closed = record.code is _Code.CLOSED
        if digest is not None and record.digest != digest and not closed:
            return claim_messages.ClaimReply(False, states.MISMATCH.value)
        return claim_messages.ClaimReply(
            granted,
            _STATES[record.code].value,
            record.incarnation,
            record.claim_id,
            record.outcome,
            self._answers.get(key, b""),
            key in self._answers,
        )

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        counts = (self.now_ms, len(self._records), len(self._answers))
        parts = [_COUNTS.pack(*counts)]
        for table in (self._records, self._answers):
            for key, value in table.items():
                parts += (key, snapshot_reader.LENGTH.pack(len(value)), value)
        return b"".join([*parts, *self._released])

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty data resets it.

        Raises:
          SnapshotError: If the snapshot is damaged.
        """
        self._reset()
        if not data:
            return
        reader = snapshot_reader.SnapshotReader(data)
        self.now_ms, records, answers = _COUNTS.unpack(
            reader.take(_COUNTS.size)
        )
        for _ in range(records):
            key, value = reader.take_pair(_KEY_BYTES)
            self._records[key] = value
            self._owned[_unpack(value).owner] += 1
        for _ in range(answers):
            key, value = reader.take_pair(_KEY_BYTES)
            self._answers[key] = value
            self._answers_bytes += len(value)
        while not reader.is_at_end:
            self._remember_released(reader.take(_RELEASED_BYTES))


def check(message: object) -> None:
    """Checks the sizes of a command.

    Raises:
      ValueError: Saying what is out of bounds.
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
    owner = workspace.encode()
    text = (
        snapshot_reader.LENGTH.pack(len(owner)) + owner + request_key.encode()
    )
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()


def _hash_owner(workspace: str) -> bytes:
    return hashlib.blake2b(
        workspace.encode(), digest_size=_OWNER_BYTES
    ).digest()


def _shorten(digest: bytes) -> bytes:
    return hashlib.blake2b(digest, digest_size=_DIGEST_BYTES).digest()
