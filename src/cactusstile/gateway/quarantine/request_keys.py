"""Keys of what requests have in common, under which targets may end."""

from __future__ import annotations

import functools
import hashlib
import typing

import attrs

if typing.TYPE_CHECKING:
    from cactusstile.gateway.engines import prompts
    from cactusstile.http import messages

_PART_KEY_BYTES = 8
# A caller chooses most of what a fingerprint covers, so that it must be long
# enough to make a collision infeasible.
_FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8


def part_key(part_id: str) -> str:
    """Returns the key of a part, which has a fixed length."""
    data = part_id.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=_PART_KEY_BYTES).hexdigest()


@attrs.frozen
class RequestKeys:
    """Keys of a request.

    Attributes:
      request: Fingerprint of the request; the same if a caller repeats it.
      parts: Keys of the prompt's parts that other prompts may share.
      route: Name of the route, for operators.
      workspace: Name of the caller's workspace; empty if it has none.
    """

    request: str
    parts: frozenset[str] = frozenset()
    route: str = ""
    workspace: str = ""

    @functools.cached_property
    def all(self) -> frozenset[str]:
        """All keys."""
        return self.parts | {self.request}


def compute(
    request: messages.Request,
    prompt: prompts.Prompt,
    *,
    host: str = "",
    route: str = "",
    workspace: str = "",
) -> RequestKeys:
    """Returns the keys of a request.

    Header fields that differ between two sendings, such as ids, deadlines and
    the event after which a stream resumes, are left out.

    Args:
      request: The request.
      prompt: Prompt as described by the header fields.
      host: Host of the route; callers write it with or without a port.
      route: Name of the route.
      workspace: Name of the caller's workspace; empty if it has none.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    fields = [
        workspace.encode(errors="surrogateescape"),
        request.method,
        host.encode(errors="surrogateescape"),
        request.target,
        request.body,
        prompt.model.encode(errors="surrogateescape"),
    ]
    for part in prompt.parts:
        fields.append(part.id.encode(errors="surrogateescape"))
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    parts = frozenset(part_key(part) for part in prompt.shared_ids())
    return RequestKeys(digest.hexdigest(), parts, route, workspace)
