"""Storage, eviction and transfer of blocks of computed prompt state."""

from __future__ import annotations
