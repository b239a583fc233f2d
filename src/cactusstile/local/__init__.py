"""All roles and fakes of the external systems in one process."""

from __future__ import annotations
