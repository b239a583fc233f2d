"""Control replicas of a site whose targets run without agents."""

from __future__ import annotations
