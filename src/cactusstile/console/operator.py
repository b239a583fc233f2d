"""Common parts of operator commands: settings, connections, errors."""

from __future__ import annotations

import json as json_module
import pathlib
import typing

import anyio
import attrs

from cactusstile.console import exceptions
from cactusstile.control import exceptions as control_exceptions
from cactusstile.control import operations
from cactusstile.settings import operator

if typing.TYPE_CHECKING:
    import collections.abc

    _T = typing.TypeVar("_T")
    Task = collections.abc.Callable[
        [operations.OperatorSession], collections.abc.Awaitable[_T]
    ]

DEFAULT_SETTINGS = "operator.ini"


def run(settings: str, task: Task[_T]) -> _T:
    """Runs `task` with connections to the control processes.

    Args:
      settings: Path of the operator's settings file.
      task: Coroutine function that performs the command.

    Raises:
      InvalidFileError: If the settings file is invalid.
      CommandError: If control refused the command or did not answer.
    """
    loaded = operator.load(pathlib.Path(settings))

    async def connect() -> _T:
        async with operations.open_session(loaded) as opened:
            return await task(opened)

    try:
        return anyio.run(connect)
    except BaseExceptionGroup as group:
        control_error = _find_control_error(group)
        if control_error is None:
            raise
        raise _to_command_error(control_error) from group
    except control_exceptions.ControlError as error:
        raise _to_command_error(error) from error


def _find_control_error(
    error: BaseException,
) -> control_exceptions.ControlError | None:
    """Returns the first control error in a group and its nested groups."""
    if isinstance(error, control_exceptions.ControlError):
        return error
    if not isinstance(error, BaseExceptionGroup):
        return None
    for inner in error.exceptions:
        control_error = _find_control_error(inner)
        if control_error is not None:
            return control_error
    return None


def _to_command_error(
    error: control_exceptions.ControlError,
) -> exceptions.CommandError:
    codes = exceptions.ExitCode
    match error:
        case control_exceptions.OutcomeUnknownError():
            text = "it may have taken effect; run the same command again"
            return exceptions.CommandError(f"{error}; {text}", codes.FAILED)
        case control_exceptions.ControlUnavailableError():
            text = "nothing was changed; check the control VMs"
            return exceptions.CommandError(
                f"{error}; {text}", codes.UNREACHABLE
            )
    return exceptions.CommandError(str(error), codes.REFUSED)


def print_json(content: object) -> None:
    """Prints an attrs instance, or a list of them, as JSON."""
    if isinstance(content, list):
        plain: object = [_to_dict(item) for item in content]
    else:
        plain = _to_dict(content)
    print(json_module.dumps(plain, indent=2))


def _to_dict(item: typing.Any) -> object:
    return attrs.asdict(item, value_serializer=_serialize_value)


def _serialize_value(
    _instance: object, _field: object, value: object
) -> object:
    return value.hex() if isinstance(value, bytes) else value
