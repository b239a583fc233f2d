"""Waits, for a request that arrives while this gateway does not know the site.

After a loss of power all gateways start together. They receive the
configuration, and then the contents of the stores, about a second later. After
a pause of the process, and while control is silent, the view may be outdated.
"""

from __future__ import annotations

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import site_view
from cactusstile.http import messages

# Delay after which a caller may retry while this gateway has no configuration.
UNCONFIGURED_RETRY_AFTER_S = 1.0
# Delay after which a caller may retry while the view is not confirmed; another
# gateway may be able to serve it at once.
UNCONFIRMED_RETRY_AFTER_S = 0.3
# Longest wait for a confirmation of the view: a connection to control and two
# answers of a quorum.
MAX_CONFIRMATION_WAIT_S = 0.5


async def admit_when_ready(
    site: site_view.SiteView, request: messages.Request
) -> admission.AdmittedRequest:
    """Admits a request by a view that is current; waits for it if necessary.

    An immediate refusal would cost callers their retry while no other gateway
    could serve it.

    Raises:
      RefusedError: There is no configuration yet, it does not allow the
        request, or it may be outdated.
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
    await wait_until_confirmed(site, request)
    try:
        admitted = admission.admit(site.table, request)
    except verdict.RefusedError as error:
        if site.view_age.is_current():
            raise
        # A newer configuration may allow it.
        raise _refuse_by_age(verdict.Verdict.NOT_RUN) from error
    await _wait_for_stores(site, admitted)
    return admitted


async def wait_until_confirmed(
    site: site_view.SiteView,
    request: messages.Request,
    outcome: verdict.Verdict = verdict.Verdict.NOT_RUN,
) -> None:
    """Returns once the view may decide what runs.

    A view that control cannot confirm, because no part of it is in reach, goes
    on deciding: gateways serve through a long loss of control.

    Args:
      site: Local view of the site.
      request: The request.
      outcome: Whether the request may have run.

    Raises:
      RefusedError: The view may be outdated.
    """
    if site.view_age.may_decide():
        return
    wait_s = min(
        MAX_CONFIRMATION_WAIT_S, admission.configuration_wait_s(request)
    )
    if await site.view_age.wait_until_current(wait_s):
        return
    if not site.view_age.is_cut_off():
        raise _refuse_by_age(outcome)


def _refuse_by_age(outcome: verdict.Verdict) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.STALE_CONFIGURATION,
        "the configuration that is known here may be outdated",
        verdict=outcome,
        retry_after_s=UNCONFIRMED_RETRY_AFTER_S,
    )


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
