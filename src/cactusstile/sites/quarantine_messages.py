"""Datagrams about requests under which targets end."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(0, _SCHEMA, "TargetEnd")
@attrs.frozen
class TargetEnd:
    """A target ended while it had not answered a request yet.

    Attributes:
      target: Identifies one start of the target.
      request: Fingerprint of the request.
      parts: Keys of the parts of its prompt that other prompts may share.
      age_ms: Time since the end, in ms.
      ran_ms: Longest time that the target had run the request, in ms.
    """

    target: str
    request: str
    parts: tuple[str, ...]
    age_ms: int
    ran_ms: int = 0


@codec.register(0, _SCHEMA, "AnsweredKey")
@attrs.frozen
class AnsweredKey:
    """A key of requests that targets answer.

    Attributes:
      key: Fingerprint of a request, or key of a part of prompts.
      age_ms: Time since the last such answer, in ms.
    """

    key: str
    age_ms: int


@codec.register(525, _SCHEMA, "EndEvidence")
@attrs.frozen
class EndEvidence:
    """Datagram: what a gateway knows of requests under which targets end.

    Attributes:
      ends: Ends of targets.
      answered: Keys that were answered all the same.
    """

    ends: tuple[TargetEnd, ...]
    answered: tuple[AnsweredKey, ...]
