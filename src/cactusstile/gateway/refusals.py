"""Builds the gateway's own answers to refused requests."""

from __future__ import annotations

import json
import math

from cactusstile import verdict
from cactusstile.filters import refusals

UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504
# Statuses of refusals that a retry cannot resolve.
_FINAL_STATUSES = frozenset((400, 401, 404, 413))
_RETRY_AFTER_DIGITS = 3


def status_of(refusal: verdict.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    Status 503 guarantees that the request did not run and never will, so it
    depends on the verdict only.
    """
    status = refusals.STATUSES[refusal.reason]
    if status in _FINAL_STATUSES:
        return status
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        return UNAVAILABLE_STATUS
    if refusal.reason is verdict.Reason.DEADLINE_EXCEEDED:
        return GATEWAY_TIMEOUT_STATUS
    return BAD_GATEWAY_STATUS


def answer(
    refusal: verdict.Refusal,
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Returns the status, header fields and body of a refusal."""
    status = status_of(refusal)
    error = {
        "message": refusal.message,
        "code": refusal.reason.value,
        "verdict": refusal.verdict.value,
    }
    body = json.dumps({"error": error}).encode()
    fields = [(b"content-type", b"application/json")]
    if status == UNAVAILABLE_STATUS and refusal.retry_after_s > 0:
        digits = 10**_RETRY_AFTER_DIGITS
        rounded_s = math.ceil(refusal.retry_after_s * digits) / digits
        fields.append((b"retry-after", str(rounded_s).encode()))
    return status, fields, body
