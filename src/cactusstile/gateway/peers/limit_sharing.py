"""Tells other gateways the limits that targets name in their answers.

Most gateways send nothing to such a target, so that they would not learn from
its answers that a limit has ended or has changed. Messages may be lost; they
are repeated while answers arrive.

The module does no I/O; see `datagram_exchange`.
"""

from __future__ import annotations

import collections.abc

import anyio

from cactusstile.gateway import site_view
from cactusstile.gateway import target_limits
from cactusstile.sites import ages
from cactusstile.sites import limit_messages

Send = collections.abc.Callable[[limit_messages.TargetLimitNotice, str], None]


class LimitSharing:
    """Exchange of the limits that targets name.

    Attributes:
      site: Local view of the site.
      send: Sends a message to the gateway with an address.
    """

    def __init__(self, site: site_view.SiteView) -> None:
        """Shares the limits of the targets of `site`; sends nothing yet."""
        self.site = site
        self.send: Send = lambda *_: None

    def tell(self, limit: target_limits.TargetLimit) -> None:
        """Tells all other gateways of a limit, if that is due."""
        now_s = anyio.current_time()
        if not limit.is_to_be_told(now_s):
            return
        limit.told_s = now_s
        message = limit_messages.TargetLimitNotice(
            limit.target_id,
            limit.per_s is not None,
            limit.per_s or 0.0,
            ages.to_ms(now_s - limit.heard_s),
        )
        for receiver in self.site.other_gateways():
            self.send(message, receiver)

    def receive(self, message: limit_messages.TargetLimitNotice) -> None:
        """Applies what another gateway was told by a target."""
        view = self.site.targets.by_id.get(message.target)
        if view is None:
            return
        now_s = anyio.current_time()
        limit = view.notices.limit
        heard_s = now_s - ages.to_s(message.age_ms)
        if limit.record(message.per_s if message.is_limited else None, heard_s):
            # The sender has told all others.
            limit.told_s = now_s
