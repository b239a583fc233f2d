"""Serving system for prompts that return after long gaps."""

from __future__ import annotations
