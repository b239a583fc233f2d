"""Header fields that the platform defines for callers and targets."""

from __future__ import annotations

# Set by callers and forwarded unchanged.
REQUEST_ID = b"x-cactusstile-attempt-id"
MODEL = b"x-cactusstile-model"
# Prompt tokens and the limit of output tokens, separated by a comma.
TOKENS = b"x-cactusstile-token-usage"
# Parts of the prompt in order, each as ID:TOKENS.
PROMPT_PARTS = b"x-cactusstile-prompt-prefix"
# The caller's estimate of the output tokens, which is often far off.
LENGTH_ESTIMATE = b"x-cactusstile-length-hint"
LAST_EVENT_ID = b"last-event-id"
# Id of the attempt that brought the first event of the stream to be resumed.
RESUMED_REQUEST = b"resumes"

# Set by callers; the gateway replaces or removes them.
DEADLINE_MS = b"x-cactusstile-deadline-ms"
KEY = b"x-cactusstile-key"

# Set by this system in requests to targets.
WORKSPACE = b"x-cactusstile-tenant"
EXPECTED_TARGET = b"x-cactusstile-expect-instance"
EXPECTED_WEIGHTS = b"x-cactusstile-expect-version"
# From 0, the highest priority, to 9.
PRIORITY = b"x-cactusstile-request-priority"
# A cached part is found only under the salt with which it was computed.
CACHE_SALT = b"x-cactusstile-cache-salt"
KV_FETCH = b"x-cactusstile-kv-fetch"
KV_FETCH_UNTIL = b"x-cactusstile-kv-until"
KV_SAVE = b"x-cactusstile-kv-save"
KV_BACKUP = b"x-cactusstile-kv-backup"
KV_FROM = b"kv-from"
PIN_MS = b"x-cactusstile-pin-ms"
RESERVATION = b"x-cactusstile-hold"
EVENTS_WAIT_MS = b"wait-ms"

# Set by targets.
SEAL = b"x-cactusstile-response-seal"
NOT_RUN = b"x-cactusstile-not-executed"
# Running requests, waiting requests and slots, separated by commas; where
# targets share their machines, followed by the time that work takes there now,
# in percent of the usual.
LOAD = b"x-cactusstile-instance-load"
TARGET_ID = b"x-cactusstile-instance-id"
WEIGHTS = b"x-cactusstile-weight-versions"
# "1" in all answers of a target that leaves.
LEAVING = b"server-leaving"
# Requests per second that a target in need takes from all senders together.
LIMIT = b"server-limit"
# In a 503: for how long the target wants nothing from the sender, in seconds.
RETRY_AFTER = b"retry-after"

# Fields that callers must not set.
SYSTEM_FIELDS = frozenset(
    (
        DEADLINE_MS,
        KEY,
        WORKSPACE,
        EXPECTED_TARGET,
        EXPECTED_WEIGHTS,
        PRIORITY,
        CACHE_SALT,
        KV_FETCH,
        KV_FETCH_UNTIL,
        KV_SAVE,
        KV_BACKUP,
        KV_FROM,
        PIN_MS,
        RESERVATION,
        EVENTS_WAIT_MS,
        SEAL,
        NOT_RUN,
        LOAD,
        TARGET_ID,
        WEIGHTS,
        LEAVING,
        LIMIT,
    )
)
# Fields of targets that callers do not receive.
TARGET_ONLY_FIELDS = frozenset((LOAD, LEAVING, LIMIT))
EVENT_STREAM = "text/event-stream"
