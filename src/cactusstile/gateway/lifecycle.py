"""Readiness towards the load balancer, and graceful shutdown."""

from __future__ import annotations

import logging
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    from cactusstile.gateway import site_view
    from cactusstile.http import messages
    from cactusstile.http import responder as responders
    from cactusstile.http import serving as servings

logger = logging.getLogger(__name__)

# Time until the balancer detects the shutdown: two health checks, one second
# apart.
NOTICE_S = 2.3
# Time after which new connections and further requests are refused, so that
# callers immediately use another gateway: requests accepted later might not
# finish before the platform kills the process.
ACCEPT_S = 2.8
# Time reserved before the platform kills the process. Closing the connections
# takes a few milliseconds; the longest streams need all of the remaining time.
RESERVE_S = 0.15
POLL_INTERVAL_S = 0.05
OK = 200
UNAVAILABLE = 503


@attrs.define
class Lifecycle:
    """State of the process towards the load balancer.

    Attributes:
      site: Local view of the site.
      stopping: Whether the process is shutting down.
    """

    site: site_view.SiteView
    stopping: bool = False

    def is_ready(self) -> bool:
        """Returns whether the balancer may send callers to this gateway."""
        return self.site.is_ready() and not self.stopping

    async def answer_readiness(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Answers a health check of the balancer; see `http.callers`."""
        del request
        status = OK if self.is_ready() else UNAVAILABLE
        await responder.respond(status, [], b"")

    async def drain(
        self, serving: servings.Serving, stop_s: float, late_s: float = 0.0
    ) -> None:
        """Returns once no request is in flight, or the time has expired.

        No connection is accepted and no request read any more then.

        New requests are served until the balancer has detected the shutdown.

        Args:
          serving: Connections of callers.
          stop_s: Time from the signal until the platform kills the process.
          late_s: Time for which the signal has waited.
        """
        sent_s = anyio.current_time() - late_s
        self.stopping = True
        serving.stopping = True
        serving.take_until_s = sent_s + ACCEPT_S
        with anyio.CancelScope(deadline=sent_s + stop_s - RESERVE_S):
            await anyio.sleep_until(sent_s + NOTICE_S)
            while serving.takes_requests or serving.open_connections.places:
                serving.close_idle()
                is_late = anyio.current_time() >= serving.take_until_s
                if is_late or not serving.open_connections.places:
                    serving.take_no_more()
                await anyio.sleep(POLL_INTERVAL_S)
        serving.take_no_more()
        logger.info("drained", extra={"cut_off": serving.open_requests})
