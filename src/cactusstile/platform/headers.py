"""Header fields that the platform's callers and targets exchange."""

from __future__ import annotations

# Set by callers, and passed on unchanged.
REQUEST_ID = b"x-cactusstile-attempt-id"
MODEL = b"x-cactusstile-model"
# Prompt tokens and the bound of output tokens, separated by a comma.
TOKENS = b"x-cactusstile-token-usage"
# Parts of the prompt in order, as ID:TOKENS.
PROMPT_PARTS = b"x-cactusstile-prompt-prefix"
# A caller's estimate of the output tokens; often far off.
LENGTH_ESTIMATE = b"x-cactusstile-length-hint"
LAST_EVENT_ID = b"last-event-id"

# Set by callers, and replaced or removed here.
DEADLINE_MS = b"x-cactusstile-deadline-ms"
KEY = b"x-cactusstile-key"

# Set by this system towards targets.
WORKSPACE = b"x-cactusstile-tenant"
EXPECTED_TARGET = b"x-cactusstile-expect-instance"
EXPECTED_WEIGHTS = b"x-cactusstile-expect-version"
# From 0, which is first, to 9.
PRIORITY = b"x-cactusstile-request-priority"
# Cached parts are found only under the salt that they were made under.
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
# Running, waiting and slots, separated by commas.
LOAD = b"x-cactusstile-instance-load"
TARGET_ID = b"x-cactusstile-instance-id"
WEIGHTS = b"x-cactusstile-weight-versions"

# What a caller must not set: the system's own fields.
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
    )
)
EVENT_STREAM = "text/event-stream"
