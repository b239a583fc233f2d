"""Queues, budgets and buckets that bound the load."""

from __future__ import annotations
