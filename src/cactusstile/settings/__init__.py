"""Process settings, read from INI files and validated as a whole."""

from __future__ import annotations
