"""When a held request is put to the test."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from cactusstile.sites import hold_messages

# Time from the start of a hold to its first trial; four times as long from each
# trial to the next, since each may end another target.
FIRST_TRIAL_S = 60.0
TRIAL_BACKOFF = 4


def trial_wait_s(hold: hold_messages.Hold) -> float:
    """Returns the time from the last change of a hold to its next trial."""
    return FIRST_TRIAL_S * float(TRIAL_BACKOFF**hold.trials)
