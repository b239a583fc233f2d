"""Fleet state as declared by operators and held by every node."""

from __future__ import annotations
