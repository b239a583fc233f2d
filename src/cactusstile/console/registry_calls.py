"""HTTP calls of operator commands to registries."""

from __future__ import annotations

import json
import typing

from cactusstile.console import exceptions
from cactusstile.console import http_calls

if typing.TYPE_CHECKING:
    import httpcore

MAX_REDIRECTS = 2
TIMEOUT_S = 3.0
_OK = 200
_REDIRECT = 307
_UNKNOWN_OUTCOME = 504


def call(registry: str, method: str, path: str, **content: str) -> str:
    """Returns the body of the answer of the leading registry.

    Args:
      registry: Address of any registry's operator interface, HOST:PORT.
      method: HTTP method.
      path: Path of the call.
      **content: Fields of the JSON body; without any, there is no body.

    Raises:
      CommandError: No registry answered, or the leader refused the call.
    """
    url: str | bytes = f"http://{registry}{path}"
    body = json.dumps(content) if content else None
    for _ in range(MAX_REDIRECTS + 1):
        try:
            response = http_calls.request(
                method,
                url,
                timeout_s=TIMEOUT_S,
                headers={"host": registry},
                content=body.encode() if body else None,
            )
        except exceptions.NoAnswerError as error:
            raise exceptions.CommandError(
                f"{registry} does not answer ({error}); "
                "check the address or try another registry",
                exceptions.ExitCode.UNREACHABLE,
            ) from error
        if response.status != _REDIRECT:
            return _read(response)
        url = _find_location(response)
    raise exceptions.CommandError(
        "the registries have no leader; try again",
        exceptions.ExitCode.UNREACHABLE,
    )


def _find_location(response: httpcore.Response) -> bytes:
    headers = {name.lower(): value for name, value in response.headers}
    return headers.get(b"location", b"")


def _read(response: httpcore.Response) -> str:
    text = response.content.decode(errors="replace")
    if response.status == _OK:
        return text
    code = exceptions.ExitCode.REFUSED
    if response.status == _UNKNOWN_OUTCOME:
        code = exceptions.ExitCode.FAILED
    raise exceptions.CommandError(f"refused: {text}", code)
