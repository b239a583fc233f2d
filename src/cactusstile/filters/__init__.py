"""Filter chain that an entry applies to each request."""

from __future__ import annotations
