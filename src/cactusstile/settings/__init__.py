"""Settings of a process, read from an INI file and checked whole."""

from __future__ import annotations
