"""Benchmarks and load tools."""

from __future__ import annotations
