"""Header fields of calls to plain services, and of their answers."""

from __future__ import annotations

from cactusstile.agent import messages
from cactusstile.targets import http
from cactusstile.targets import service


# Guards against fields of one connection that callers receive, as answers are
# read by another list of such fields than requests.
def test_fields_of_the_connection_to_a_service_are_passed_on() -> None:
    headers = (
        ("Connection", "X-Hop, close"),
        ("X-Hop", "1"),
        ("connection", "X-Other"),
        ("x-other", "2"),
        ("Proxy-Authenticate", "Basic"),
        ("Proxy-Connection", "close"),
        ("Content-Length", "0"),
        ("X-Kept", "3"),
    )
    reply = service.build_reply(http.Response(200, headers, b""))
    assert reply.headers == (messages.Header("x-kept", "3"),)
