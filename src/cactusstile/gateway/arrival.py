"""Waits, for a request that arrives before this gateway knows the site.

After a loss of power all gateways start together. They receive the
configuration, and then the contents of the stores, about a second later.
"""

from __future__ import annotations

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import site_view
from cactusstile.http import messages

# Delay after which a caller may retry while this gateway has no configuration.
UNCONFIGURED_RETRY_AFTER_S = 1.0


async def admit_when_ready(
    site: site_view.SiteView, request: messages.Request
) -> admission.AdmittedRequest:
    """Admits a request; waits for the first configuration if necessary.

    An immediate refusal would cost callers their retry while no other gateway
    could serve it.

    Raises:
      RefusedError: There is no configuration yet, or it does not allow the
        request.
    """
    if site.table is None:
        with anyio.move_on_after(admission.configuration_wait_s(request)):
            await site.configured.wait()
    if site.table is None:
        raise verdict.refuse(
            verdict.Reason.STALE_CONFIGURATION,
            "no configuration is known yet",
            retry_after_s=UNCONFIGURED_RETRY_AFTER_S,
        )
    admitted = admission.admit(site.table, request)
    await _wait_for_stores(site, admitted)
    return admitted


async def _wait_for_stores(
    site: site_view.SiteView, admitted: admission.AdmittedRequest
) -> None:
    """Delays a long prompt until the contents of the stores are known."""
    wait_s = admission.stores_wait_s(
        admitted.prompt.tokens,
        anyio.current_time() - site.configured_s,
        are_contents_known=site.stores_known.is_set() or not site.stores(),
    )
    if wait_s > 0:
        with anyio.move_on_after(wait_s):
            await site.stores_known.wait()
