"""Filter chain through which an entry passes each request."""

from __future__ import annotations
