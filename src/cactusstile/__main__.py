"""Runs the command line: `python -m cactusstile`."""

from __future__ import annotations

from cactusstile.console import application

if __name__ == "__main__":
    application.main()
