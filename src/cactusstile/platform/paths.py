"""Paths of files that the platform places on a VM."""

from __future__ import annotations

import os
import pathlib

SETTINGS_VARIABLE = "CACTUSSTILE_SETTINGS"
DEFAULT_SETTINGS = "/etc/cactusstile/node.toml"


def settings_path() -> pathlib.Path:
    """Returns the path of this process's settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
