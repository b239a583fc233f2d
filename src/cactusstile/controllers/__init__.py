"""Controllers that reconcile targets with the configuration."""

from __future__ import annotations
