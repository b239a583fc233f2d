"""All roles and stand-ins of the outside systems in one process."""

from __future__ import annotations
