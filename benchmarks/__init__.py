"""Benchmarks and the load tool."""

from __future__ import annotations
