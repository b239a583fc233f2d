"""HTTP/1.1 server and client of a gateway, built on h11 and sockets."""

from __future__ import annotations
