"""Replicated log: I/O-free consensus core, durable storage and driver."""

from __future__ import annotations
