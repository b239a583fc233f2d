"""What all processes of a site tell each other about it."""

from __future__ import annotations
