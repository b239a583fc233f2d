"""HTTP/1.1 on both sides of a gateway, over h11 and plain sockets."""

from __future__ import annotations
