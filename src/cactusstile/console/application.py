"""Entry point of the command line."""

from __future__ import annotations

import errno
import importlib
import inspect
import sys
import typing

import fire

from cactusstile.console import exceptions
from cactusstile.settings import ini

if typing.TYPE_CHECKING:
    import collections.abc

COMMANDS = {
    "local": "run all roles and fake targets in one process",
    "entry": "run an entry process",
    "agent": "run the agent of one target",
    "control": "run a control process",
    "gateway": "run a gateway for targets without agents",
    "registry": "run a registry process for gateways",
    "check": "check a fleet file or settings file without applying it",
    "key": "generate a key for a workspace, and its hash",
    "apply": "apply a fleet file",
    "diff": "show what a fleet file would change",
    "history": "list the configurations that were applied",
    "status": "show a summary of the fleet",
    "member": "list, add, replace or remove control members",
    "drain": "let a target finish its work and accept no more",
    "dump": "print the state of one process",
    "holds": "list or release requests that are kept from targets",
    "evacuations": "list, begin or end evacuations of data centres",
    "explain": "show from the logs what happened to a request",
}


def main(arguments: collections.abc.Sequence[str] | None = None) -> None:
    """Runs one command and exits with its code.

    Args:
      arguments: Command and its arguments; `sys.argv[1:]` by default.
    """
    sys.exit(run(list(sys.argv[1:] if arguments is None else arguments)))


def run(arguments: list[str]) -> exceptions.ExitCode:
    """Runs one command and returns its exit code."""
    if not arguments or arguments[0] in ("help", "--help", "-h"):
        print(usage())
        return exceptions.ExitCode.OK
    name = arguments[0]
    if name not in COMMANDS:
        print(f"cactusstile: no command {name!r}\n{usage()}", file=sys.stderr)
        return exceptions.ExitCode.USAGE
    module = importlib.import_module(f"cactusstile.console.{name}")
    _pass_text_verbatim(module.run)
    try:
        fire.Fire(module.run, command=arguments[1:], name=f"cactusstile {name}")
    except fire.core.FireExit as exit_:
        code = exceptions.ExitCode.USAGE if exit_.code else 0
        return exceptions.ExitCode(code)
    except Exception as error:
        return report(error)
    except KeyboardInterrupt:
        return exceptions.ExitCode.FAILED
    return exceptions.ExitCode.OK


def usage() -> str:
    """Returns the usage text with all commands."""
    width = max(len(name) for name in COMMANDS)
    lines = [f"  {name:<{width}}  {text}" for name, text in COMMANDS.items()]
    return "\n".join(["usage: cactusstile COMMAND [--help]", *lines])


def report(error: Exception) -> exceptions.ExitCode:
    """Prints an error that the user can act on and returns its exit code.

    Raises:
      Exception: The error itself if it is a fault of the program.
    """
    user_error = _find_user_error(error)
    if user_error is None:
        raise error
    text, code = user_error
    print(f"cactusstile: {text}", file=sys.stderr)
    return code


def _pass_text_verbatim(command: collections.abc.Callable[..., None]) -> None:
    """Disables Fire's type guessing: a target may be named `007`."""
    parameters = inspect.signature(command).parameters.values()
    names = [
        parameter.name
        for parameter in parameters
        if parameter.annotation == "str"
    ]
    decorate = fire.decorators.SetParseFns(**dict.fromkeys(names, str))
    decorate(command)


def _find_user_error(
    error: BaseException,
) -> tuple[str, exceptions.ExitCode] | None:
    """Returns text and exit code of the first user error, also in groups."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            user_error = _find_user_error(inner)
            if user_error is not None:
                return user_error
        return None
    if isinstance(error, exceptions.CommandError):
        return str(error), error.exit_code
    if isinstance(error, ini.InvalidFileError):
        return str(error), exceptions.ExitCode.INVALID_FILE
    if isinstance(error, OSError) and error.errno == errno.EADDRINUSE:
        text = (
            f"{error.strerror}; choose another address or stop the process "
            "that uses it"
        )
        return text, exceptions.ExitCode.ADDRESS_IN_USE
    return None
