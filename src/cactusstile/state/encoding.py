"""Canonical encoding of a fleet as entries, and its content digest.

Each part of a fleet (a workspace, deployment, service, target or link) is one
entry: a key such as "workspace/bank" and a canonical JSON value. Equal parts
have the same encoding on every node.
"""

from __future__ import annotations

import functools
import hashlib
import json
import typing

import attrs

from cactusstile.state import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

DIGEST_BYTES = 32
_MODULUS = 1 << (8 * DIGEST_BYTES)
_SITE_KEY = "fleet"
_ENCODER = json.JSONEncoder(separators=(",", ":"))
_KINDS: dict[str, tuple[str, type]] = {
    "workspace": ("workspaces", model.Workspace),
    "deployment": ("deployments", model.Deployment),
    "service": ("services", model.Service),
    "target": ("targets", model.Target),
    "link": ("links", model.Link),
}

_FIELD_NAMES: dict[type, tuple[str, ...]] = {
    cls: tuple(sorted(field.name for field in attrs.fields(cls)))
    for _, cls in _KINDS.values()
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
    """Returns the parts of `fleet` by kind and name, without copying."""
    return {kind: getattr(fleet, name) for kind, (name, _) in _KINDS.items()}


def key_of(kind: str, name: str | tuple[str, str]) -> str:
    """Returns the key of one part.

    >>> key_of("link", ("ikeja", "lekki"))
    'link/ikeja/lekki'
    """
    path = name if isinstance(name, str) else "/".join(name)
    return f"{kind}/{path}"


def encode_part(part: Part) -> bytes:
    """Returns the canonical encoding of one part.

    >>> encode_part(model.Link(("a", "b"), 1.0))
    b'{"bytes_per_s":1.0,"data_centres":["a","b"],"price":0.0}'
    """
    fields = {name: getattr(part, name) for name in _FIELD_NAMES[type(part)]}
    if isinstance(part, model.Target):
        fields["kind"] = part.kind.value
        fields["agent"] = str(part.agent)
    return _ENCODER.encode(fields).encode()


def encode(fleet: model.Fleet) -> dict[str, bytes]:
    """Returns all entries of `fleet`; they do not include the revision."""
    return dict(entries_of(fleet))


def entries_of(
    fleet: model.Fleet,
) -> collections.abc.Iterator[tuple[str, bytes]]:
    """Yields key and value of each entry of `fleet`."""
    yield _SITE_KEY, json.dumps(fleet.name).encode()
    for kind, parts in parts_of(fleet).items():
        for name, part in parts.items():
            yield key_of(kind, name), encode_part(part)


class Editor:
    """Mutable copy of a fleet's parts.

    Attributes:
      name: Name of the site.
      digest: Content digest as an integer, updated with each change.
    """

    def __init__(self, fleet: model.Fleet, digest: int) -> None:
        """Starts from `fleet`, whose content digest is `digest`."""
        self.name = fleet.name
        self.digest = digest
        self._parts = parts_of(fleet)
        self._copied: set[str] = set()

    def put(self, key: str, value: bytes) -> None:
        """Adds or replaces an entry.

        Raises:
          ValueError: If the key or value is malformed.
        """
        if key == _SITE_KEY:
            self._subtract(key, json.dumps(self.name).encode())
            self.name = _check_string(json.loads(value))
            self._add(key, json.dumps(self.name).encode())
            return
        kind, name = split_key(key)
        part = _decode_part(_KINDS[kind][1], value)
        parts = self._copied_parts(kind)
        self._remove_part(parts, key, name)
        parts[name] = part
        self._add(key, encode_part(part))

    def remove(self, key: str) -> None:
        """Removes an entry if it exists.

        Raises:
          ValueError: If the key is malformed.
        """
        kind, name = split_key(key)
        self._remove_part(self._copied_parts(kind), key, name)

    def _copied_parts(self, kind: str) -> dict[typing.Any, Part]:
        """Returns the parts of a kind, copied before the first change."""
        if kind not in self._copied:
            self._copied.add(kind)
            self._parts[kind] = dict(self._parts[kind])
        return self._parts[kind]

    def _remove_part(
        self, parts: dict[typing.Any, Part], key: str, name: object
    ) -> None:
        old = parts.pop(name, None)
        if old is not None:
            self._subtract(key, encode_part(old))

    def finish(self, revision: int) -> model.Fleet:
        """Returns the changed fleet with the given revision."""
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
      ValueError: If the key is not the key of a part.
    """
    kind, _, path = key.partition("/")
    if kind not in _KINDS or not path:
        raise ValueError(f"{key!r} is not the key of a part of a fleet")
    if kind != "link":
        return kind, path
    first, _, second = path.partition("/")
    return kind, (first, second)


def content_digest(fleet: model.Fleet) -> int:
    """Returns the digest of a fleet's content.

    The digest is the sum of the entries' SHA-256 digests, so that the cost of
    an update depends on the size of the change only. It distinguishes the files
    of operators; it does not protect against forgery.
    """
    total = 0
    for key, value in encode(fleet).items():
        total += _entry_digest(key, value)
    return total % _MODULUS


def digest_bytes(digest: int) -> bytes:
    """Returns the encoding of a digest in messages."""
    return digest.to_bytes(DIGEST_BYTES, "little")


def _entry_digest(key: str, value: bytes) -> int:
    hashed = hashlib.sha256(key.encode() + b"\0" + value).digest()
    return int.from_bytes(hashed, "little")


def _decode_part(cls: type, value: bytes) -> Part:
    fields = json.loads(value.decode())
    if not isinstance(fields, dict):
        raise ValueError(f"{cls.__name__} must be a JSON object")
    converters = _converters(cls)
    arguments = {}
    for name, content in fields.items():
        convert = converters.get(name)
        if convert is None:
            raise ValueError(f"{cls.__name__} has no field {name!r}")
        arguments[name] = convert(content)
    try:
        return typing.cast("Part", cls(**arguments))
    except TypeError as error:
        raise ValueError(f"malformed {cls.__name__}: {error}") from error


@functools.cache
def _converters(
    cls: type,
) -> dict[str, collections.abc.Callable[[typing.Any], object]]:
    hints = typing.get_type_hints(cls)
    return {name: _converter(hint) for name, hint in hints.items()}


def _converter(
    hint: typing.Any,
) -> collections.abc.Callable[[typing.Any], object]:
    """Returns a function that checks and converts a field's JSON value."""
    if hint is address.Address:
        return lambda content: address.parse(_check_string(content))
    if hint is model.TargetKind:
        return model.TargetKind
    if hint is str:
        return _check_string
    if typing.get_origin(hint) is tuple:
        return _check_strings

    def convert(content: object) -> object:
        if hint is float and type(content) is int:
            return float(content)
        if type(content) is not hint:
            raise ValueError(f"{content!r} is not of type {hint.__name__}")
        return content

    return convert


def _check_strings(content: object) -> tuple[str, ...]:
    if not isinstance(content, list):
        raise ValueError(f"{content!r} is not a list")
    return tuple(_check_string(item) for item in content)


def _check_string(content: object) -> str:
    if not isinstance(content, str):
        raise ValueError(f"{content!r} is not a string")
    return content
