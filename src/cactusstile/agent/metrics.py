"""Counters of agents."""

from __future__ import annotations

import prometheus_client

RUNS = prometheus_client.Counter(
    "cactusstile_agent_runs",
    "Requests that ended at this agent, by kind and outcome.",
    ("target", "kind", "outcome"),
)
PROMPT_TOKENS = prometheus_client.Counter(
    "cactusstile_agent_prompt_tokens",
    "Prompt tokens of admitted runs, by where their state came from.",
    ("target", "source"),
)
OUTPUT_TOKENS = prometheus_client.Counter(
    "cactusstile_agent_output_tokens",
    "Output tokens of runs.",
    ("target",),
)
ORDERS = prometheus_client.Counter(
    "cactusstile_agent_orders",
    "Orders given to the engine, by kind and outcome.",
    ("target", "kind", "outcome"),
)
RESUMPTIONS = prometheus_client.Counter(
    "cactusstile_agent_resumed_streams",
    "Streams from the engine that broke off and were joined again.",
    ("target",),
)
