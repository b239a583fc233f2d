"""Replicated log: pure consensus core, durable storage, replica driver."""

from __future__ import annotations
