"""Starts a gateway without the command line interface, which imports slowly."""

from __future__ import annotations

from cactusstile.console import gateway

if __name__ == "__main__":
    gateway.run()
