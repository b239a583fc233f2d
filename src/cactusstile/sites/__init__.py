"""Model of a site, and the messages that its processes exchange about it."""

from __future__ import annotations
