"""Metrics, logs and state dumps."""

from __future__ import annotations
