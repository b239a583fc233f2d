"""Faults that a process sees from its VM: signals, ports and restarts."""

from __future__ import annotations

import contextlib
import functools
import signal
import socket
import struct
import typing

import anyio
import attrs
from tests.soak import nodes
from tests.soak import signals
from tests.soak import stand_ins

if typing.TYPE_CHECKING:
    import collections.abc

    from tests.soak import faults
    from tests.soak import fleet as fleets
    from tests.soak import plans

# Time after a start within which an early signal arrives.
EARLY_S = 1.0
# Time after SIGTERM within which a late SIGHUP arrives.
LATE_S = 0.3
MAX_DOWN_S = 1.0
# Time until callers have filled the backlog of a target that is stopped.
FULL_AFTER_S = 0.15
# Fraction of these faults that meet engines, whose runs are long.
ENGINES_FRACTION = 0.7
RESETS_PER_PORT = 5
CONNECT_TIMEOUT_S = 0.2
RESET_STOP_S = 0.1
_POLL_S = 0.002
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


async def _pick(
    injector: faults.Injector, *, is_relayed: bool | None = None
) -> fleets.TargetNode:
    service = ""
    if injector.random.random() < ENGINES_FRACTION:
        service = stand_ins.ENGINE
    return await injector.pick_target(is_relayed=is_relayed, service=service)


async def _target_stop(injector: faults.Injector, fault: plans.Fault) -> None:
    """Stops a target, which goes on later."""
    process = (await _pick(injector)).process
    assert process is not None
    signals.send(process, signal.SIGSTOP)
    await anyio.sleep(fault.duration_s)
    signals.send(process, signal.SIGCONT)


async def _target_stop_reset(
    injector: faults.Injector, fault: plans.Fault
) -> None:
    """Stops a target with a full backlog, and resets its connections."""
    target = await injector.pick_target(
        is_relayed=True, service=stand_ins.ENGINE
    )
    relay, process = target.relay, target.process
    assert relay is not None
    assert process is not None
    relay.stall()
    signals.send(process, signal.SIGSTOP)
    await anyio.sleep(FULL_AFTER_S)
    relay.reset()
    await anyio.sleep(fault.duration_s)
    signals.send(process, signal.SIGCONT)
    relay.resume()


async def _target_restart(
    injector: faults.Injector, fault: plans.Fault
) -> None:
    """Kills a target and starts it at the same address.

    It keeps its id and is born anew, or is another target.
    """
    target = await _pick(injector)
    target.kill()
    assert target.process is not None
    await target.process.wait()
    await anyio.sleep(min(fault.duration_s, MAX_DOWN_S))
    if fault.strength < 0.5:
        await injector.fleet.start(target)
        return
    injector.fleet.unlist(target)
    # An id is of one target; strength tells them apart.
    other = attrs.evolve(
        target,
        id=f"{target.id}-{int(fault.strength * 1e6)}",
        reader=None,
        process=None,
        weights=injector.fleet.named_weights.newest,
    )
    await injector.fleet.start(other)


async def _set_port(
    injector: faults.Injector, fault: plans.Fault, state: str
) -> None:
    target = await _pick(injector, is_relayed=False)
    await target.command(port=state)
    await anyio.sleep(fault.duration_s)
    await target.command(port="open")


async def _target_leave(injector: faults.Injector, fault: plans.Fault) -> None:
    """Lets a target leave, close its port and end, while runs go on."""
    target = await _pick(injector)
    injector.fleet.open(target.service)
    target.leaving = True
    await target.command(leaving=True)
    await anyio.sleep(fault.strength)
    await target.command(port="closed")
    await anyio.sleep(fault.duration_s)
    injector.fleet.unlist(target)
    target.kill()


async def _target_reset(injector: faults.Injector, fault: plans.Fault) -> None:
    """Resets the connections to a target some times."""
    relay = (await _pick(injector, is_relayed=True)).relay
    assert relay is not None
    for _ in range(1 + int(fault.strength * 4)):
        relay.reset()
        await anyio.sleep(fault.duration_s / 4)


async def _hang_up(injector: faults.Injector, fault: plans.Fault) -> None:
    """Tells a process that its settings have changed."""
    injector.site.nodes[fault.subject].send(signal.SIGHUP)


async def _early_signal(injector: faults.Injector, fault: plans.Fault) -> None:
    """Sends a signal to a process soon after its start."""
    node = injector.site.nodes[fault.subject]
    before = node.process
    node.end(signal.SIGKILL)
    while node.process is before:
        await anyio.sleep(_POLL_S)
    await anyio.sleep(fault.strength * EARLY_S)
    if injector.random.random() < 0.7:
        node.send(signal.SIGHUP)
        return
    node.end(signal.SIGTERM)


async def _late_signal(injector: faults.Injector, fault: plans.Fault) -> None:
    """Sends SIGHUP to a process that stops."""
    node = injector.site.nodes[fault.subject]
    process = node.process
    if process is None or process.returncode is not None:
        return
    node.end(signal.SIGTERM)
    await anyio.sleep(fault.strength * LATE_S)
    signals.send(process, signal.SIGHUP)
    with anyio.move_on_after(nodes.GRACE_PERIOD_S + nodes.STOP_MARGIN_S):
        await process.wait()
    signals.send(process, signal.SIGKILL)


async def _reset_ports(injector: faults.Injector, fault: plans.Fault) -> None:
    """Resets connections at each port of a process that is stopped."""
    node = injector.site.nodes[fault.subject]
    process = node.process
    if process is None or process.returncode is not None:
        return
    signals.send(process, signal.SIGSTOP)
    with contextlib.ExitStack() as stack:
        for place in injector.site.places_of(node):
            for _ in range(RESETS_PER_PORT):
                opened = stack.enter_context(socket.socket())
                opened.settimeout(CONNECT_TIMEOUT_S)
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
                )
                with contextlib.suppress(OSError):
                    opened.connect((place.host, place.port))
    await anyio.sleep(RESET_STOP_S)
    signals.send(process, signal.SIGCONT)


async def _odd_list(injector: faults.Injector, fault: plans.Fault) -> None:
    """Adds entries to the list that nobody can read."""
    injector.fleet.fault = "odd"
    await anyio.sleep(fault.duration_s)
    injector.fleet.fault = ""


INJECT: dict[
    str,
    collections.abc.Callable[
        [faults.Injector, plans.Fault], collections.abc.Awaitable[None]
    ],
] = {
    "target_stop": _target_stop,
    "target_stop_reset": _target_stop_reset,
    "target_restart": _target_restart,
    "target_stall": functools.partial(_set_port, state="stalled"),
    "target_refuse": functools.partial(_set_port, state="closed"),
    "target_leave": _target_leave,
    "target_reset": _target_reset,
    "hang_up": _hang_up,
    "early_signal": _early_signal,
    "late_signal": _late_signal,
    "reset_ports": _reset_ports,
    "odd_list": _odd_list,
}
