"""Agent: the process beside one target that admits and runs requests."""

from __future__ import annotations
