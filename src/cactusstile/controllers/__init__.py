"""Controllers that drive targets towards the configuration."""

from __future__ import annotations
