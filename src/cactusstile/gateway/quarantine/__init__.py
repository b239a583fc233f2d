"""Keeps requests under which targets end away from the targets."""

from __future__ import annotations
