"""Notices by which gateways ask whether they hold the newest state."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(527, _SCHEMA, "ViewQuestion")
@attrs.frozen
class ViewQuestion:
    """Notice of a gateway that watches: is what was sent to it the newest?

    A confirmation that a quorum gave after the notice answers it.

    Attributes:
      number: Number of the question, higher than those before.
      urgent: Whether requests wait for the answer.
    """

    number: int
    urgent: bool
