"""Entry role: serves callers over HTTP and relays runs of the agents."""

from __future__ import annotations
