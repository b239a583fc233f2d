from __future__ import annotations

from cactusstile.gateway import site_view
from cactusstile.gateway.quarantine import quarantine
from cactusstile.sites import messages


def open_gateway(
    own_address: str, count: int, send: quarantine.Send
) -> quarantine.Quarantine:
    """Returns the quarantine of one of the gateways g0, g1, ..."""
    members = tuple(
        messages.GatewayMember(f"g{number}", "d", 1.0)
        for number in range(count)
    )
    view = site_view.SiteView(gateways=members)
    view.own_address = own_address
    gateway = quarantine.Quarantine(view)
    gateway.send = send
    return gateway
