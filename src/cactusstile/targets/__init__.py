"""Clients of the outside interfaces: engines, services, platform."""

from __future__ import annotations
