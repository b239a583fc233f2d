"""Durable state of a replica: metadata, log segments and snapshots."""

from __future__ import annotations
