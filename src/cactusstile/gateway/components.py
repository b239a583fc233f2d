"""Components of a gateway process."""

from __future__ import annotations

import attrs

from cactusstile.gateway import control_watch
from cactusstile.gateway import forwarding
from cactusstile.gateway import lifecycle
from cactusstile.gateway import site_view
from cactusstile.http import serving as servings
from cactusstile.observability import loop_lag
from cactusstile.settings import node


@attrs.frozen
class Gateway:
    """Components of a running gateway.

    Attributes:
      settings: Settings of the process.
      site: Local view of the site.
      lifecycle: State towards the load balancer.
      serving: Connections of callers.
      forwarder: Forwards the requests.
      watch: Receives the configuration from control.
      loop: Lag of the event loop.
    """

    settings: node.NodeSettings
    site: site_view.SiteView
    lifecycle: lifecycle.Lifecycle
    serving: servings.Serving
    forwarder: forwarding.Forwarder
    watch: control_watch.ControlWatch
    loop: loop_lag.LoopLag = attrs.field(factory=loop_lag.LoopLag)
