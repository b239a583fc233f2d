"""Options and loader of each role, for validation and documentation."""

from __future__ import annotations

import collections.abc
import pathlib

from cactusstile.control import settings as control_settings
from cactusstile.settings import agent
from cactusstile.settings import entry

OPTIONS = {
    "entry": entry.OPTIONS,
    "agent": agent.OPTIONS,
    "control": control_settings.OPTIONS,
}
LOADERS: dict[
    str,
    collections.abc.Callable[
        [pathlib.Path],
        agent.AgentSettings
        | control_settings.ControlSettings
        | entry.EntrySettings,
    ],
] = {
    "entry": entry.load,
    "agent": agent.load,
    "control": control_settings.load,
}
