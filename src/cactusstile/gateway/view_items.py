"""Applies items of control that change single parts of the view."""

from __future__ import annotations

import logging
import typing

from cactusstile.sites import ages
from cactusstile.sites import messages

if typing.TYPE_CHECKING:
    from cactusstile.gateway import site_view
    from cactusstile.sites import evacuation_messages

logger = logging.getLogger(__name__)


def apply_weights(
    site: site_view.SiteView, item: messages.WeightsInForce, now_s: float
) -> None:
    """Adds the versions of weights that were announced."""
    announced = list(item.announced)
    if not announced:
        # A control process of an older build sends no ages.
        for named in item.weights:
            announced.append(
                messages.AnnouncedWeights(named.model, named.version, 0)
            )
    for weights in announced:
        before = site.weights.newest(weights.model)
        is_newer = site.weights.add(
            weights.model,
            weights.version,
            now_s - ages.to_s(weights.age_ms),
        )
        if not is_newer:
            continue
        logger.info(
            "newer weights were announced",
            extra={
                "model": weights.model,
                "version": weights.version,
                "age_ms": weights.age_ms,
                "before": 0 if before is None else before.version,
            },
        )


def apply_evacuations(
    site: site_view.SiteView,
    item: evacuation_messages.EvacuationsInForce,
    now_s: float,
) -> None:
    """Replaces the data centres that are evacuated, or came back."""
    known = site.targets.evacuations
    before = known.data_centres
    known.replace(
        item.data_centres,
        {one.data_centre: now_s - ages.to_s(one.age_ms) for one in item.ended},
    )
    if known.data_centres != before:
        logger.info(
            "evacuations changed",
            extra={
                "evacuated": sorted(known.data_centres),
                "before": sorted(before),
            },
        )
