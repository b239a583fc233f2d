"""Canonical encoding of a fleet as entries, and its content digest.

Each part of a fleet is one entry: a key such as "workspace/bank" and a
canonical JSON value. Equal parts have equal bytes on every node.
"""

from __future__ import annotations

import functools
import hashlib
import json
import typing

import attrs

from cactusstile.state import model
from cactusstile.transport import address

DIGEST_BYTES = 32
_MODULUS = 1 << (8 * DIGEST_BYTES)
_SITE_KEY = "fleet"
_KINDS: dict[str, tuple[str, type]] = {
    "workspace": ("workspaces", model.Workspace),
    "deployment": ("deployments", model.Deployment),
    "service": ("services", model.Service),
    "target": ("targets", model.Target),
    "link": ("links", model.Link),
}

Part = (
    model.Workspace
    | model.Deployment
    | model.Service
    | model.Target
    | model.Link
)
Parts = dict[str, dict[typing.Any, Part]]


def parts_of(fleet: model.Fleet) -> Parts:
    """Returns the parts of `fleet` by kind and name; not copied."""
    return {kind: getattr(fleet, name) for kind, (name, _) in _KINDS.items()}


def key_of(kind: str, name: str | tuple[str, str]) -> str:
    """Returns the key of one part.

    >>> key_of("link", ("ikeja", "lekki"))
    'link/ikeja/lekki'
    """
    path = name if isinstance(name, str) else "/".join(name)
    return f"{kind}/{path}"


def encode_part(part: Part) -> bytes:
    """Returns the canonical bytes of one part.

    >>> encode_part(model.Link(("a", "b"), 1.0))
    b'{"bytes_per_s":1.0,"data_centres":["a","b"],"price":0.0}'
    """
    fields = attrs.asdict(part, recurse=False)
    if isinstance(part, model.Target):
        fields["kind"] = part.kind.value
        fields["agent"] = str(part.agent)
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return text.encode()


def encode(fleet: model.Fleet) -> dict[str, bytes]:
    """Returns all entries of `fleet`; the revision is no part of them."""
    entries = {_SITE_KEY: json.dumps(fleet.name).encode()}
    for kind, parts in parts_of(fleet).items():
        for name, part in parts.items():
            entries[key_of(kind, name)] = encode_part(part)
    return entries


class Editor:
    """Copy of a fleet's parts under change.

    Attributes:
      name: Name of the site.
      digest: Content digest as a number, kept up with each change.
    """

    def __init__(self, fleet: model.Fleet, digest: int) -> None:
        """Starts from `fleet`, whose content digest is `digest`."""
        self.name = fleet.name
        self.digest = digest
        self._parts: Parts = {
            kind: dict(parts) for kind, parts in parts_of(fleet).items()
        }

    def put(self, key: str, value: bytes) -> None:
        """Adds or replaces an entry.

        Raises:
          ValueError: If the key or value is malformed.
        """
        if key == _SITE_KEY:
            self._subtract(key, json.dumps(self.name).encode())
            self.name = _text(json.loads(value))
            self._add(key, json.dumps(self.name).encode())
            return
        kind, name = split_key(key)
        part = _decode_part(_KINDS[kind][1], value)
        self.remove(key)
        self._parts[kind][name] = part
        self._add(key, encode_part(part))

    def remove(self, key: str) -> None:
        """Removes an entry, if it is there."""
        kind, name = split_key(key)
        old = self._parts[kind].pop(name, None)
        if old is not None:
            self._subtract(key, encode_part(old))

    def finish(self, revision: int) -> model.Fleet:
        """Returns the changed fleet under the operators' number."""
        fields = {name: self._parts[kind] for kind, (name, _) in _KINDS.items()}
        return model.Fleet(name=self.name, revision=revision, **fields)  # type: ignore[arg-type]

    def _add(self, key: str, value: bytes) -> None:
        self.digest = (self.digest + _entry_digest(key, value)) % _MODULUS

    def _subtract(self, key: str, value: bytes) -> None:
        self.digest = (self.digest - _entry_digest(key, value)) % _MODULUS


def differing_fields(old: bytes, new: bytes) -> tuple[str, ...]:
    """Returns the names of fields that differ between two encoded parts.

    >>> differing_fields(b'{"a":1,"b":2}', b'{"a":1,"b":3}')
    ('b',)
    """
    before, after = json.loads(old), json.loads(new)
    if not isinstance(before, dict) or not isinstance(after, dict):
        return ("name",)
    names = sorted(before.keys() | after.keys())
    return tuple(name for name in names if before.get(name) != after.get(name))


def split_key(key: str) -> tuple[str, str | tuple[str, str]]:
    """Returns kind and name of a part's key.

    Raises:
      ValueError: If the key names no part.
    """
    kind, _, path = key.partition("/")
    if kind not in _KINDS or not path:
        raise ValueError(f"{key!r} is no key of a fleet's part")
    if kind != "link":
        return kind, path
    one, _, other = path.partition("/")
    return kind, (one, other)


def content_digest(fleet: model.Fleet) -> int:
    """Returns the digest of a fleet's content.

    The sum of the entries' SHA-256, so that a change costs no more than its
    own size. It tells operators' files apart; it does not withstand forgery.
    """
    total = 0
    for key, value in encode(fleet).items():
        total += _entry_digest(key, value)
    return total % _MODULUS


def digest_bytes(digest: int) -> bytes:
    """Returns a digest as it stands in messages."""
    return digest.to_bytes(DIGEST_BYTES, "little")


def _entry_digest(key: str, value: bytes) -> int:
    hashed = hashlib.sha256(key.encode() + b"\0" + value).digest()
    return int.from_bytes(hashed, "little")


def _decode_part(cls: type, value: bytes) -> Part:
    fields = json.loads(value)
    if not isinstance(fields, dict):
        raise ValueError(f"a {cls.__name__} must be an object")
    hints = _hints(cls)
    arguments = {}
    for name, content in fields.items():
        if name not in hints:
            raise ValueError(f"{cls.__name__} has no field {name!r}")
        arguments[name] = _convert(hints[name], content)
    try:
        return typing.cast("Part", cls(**arguments))
    except TypeError as error:
        raise ValueError(f"malformed {cls.__name__}: {error}") from error


@functools.cache
def _hints(cls: type) -> dict[str, typing.Any]:
    return typing.get_type_hints(cls)


def _convert(hint: typing.Any, content: typing.Any) -> typing.Any:
    if hint is address.Address:
        return address.parse(_text(content))
    if hint is model.TargetKind:
        return model.TargetKind(content)
    if typing.get_origin(hint) is tuple:
        if not isinstance(content, list):
            raise ValueError(f"{content!r} is no list")
        return tuple(_text(item) for item in content)
    if hint is float and type(content) is int:
        return float(content)
    if type(content) is not hint:
        raise ValueError(f"{content!r} is not of type {hint.__name__}")
    return content


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise ValueError(f"{content!r} is no text")
    return content
