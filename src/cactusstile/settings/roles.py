"""Options of each role's section, for checks and for the documentation."""

from __future__ import annotations

from cactusstile.control import settings as control_settings
from cactusstile.settings import agent
from cactusstile.settings import entry

OPTIONS = {
    "entry": entry.OPTIONS,
    "agent": agent.OPTIONS,
    "control": control_settings.OPTIONS,
}
