"""What gateways tell each other in datagrams."""

from __future__ import annotations
