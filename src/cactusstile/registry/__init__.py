"""Replicated state of a site whose targets have no agents."""

from __future__ import annotations
