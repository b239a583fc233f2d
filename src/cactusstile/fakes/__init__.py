"""Small stand-ins of the outside interfaces."""

from __future__ import annotations
