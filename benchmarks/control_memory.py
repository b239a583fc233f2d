"""Memory of the declared fleet and of claims, by number of items.

python -m benchmarks.control_memory
"""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
import typing

from benchmarks import control_delivery
from cactusstile.control import claim_messages
from cactusstile.control import claims
from cactusstile.control import commands
from cactusstile.control import revisions
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.state import relay
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

WORKSPACES = (100, 1_000, 5_800)
TARGETS = (1_000, 8_100)
CLAIMS = (1_000, 10_000, 100_000)


def measure(build: collections.abc.Callable[[], object]) -> tuple[int, object]:
    """Returns the bytes allocated by the result of `build`, and the result."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used, result


def build_relay(body: bytes) -> relay.Relay:
    """Returns the relay of a node after it applied a delivered snapshot."""
    empty = model.Fleet()
    digest = encoding.content_digest(empty)
    fleet, after = delta.apply_delta(empty, digest, delta.unpack(body), 1)
    node_relay = relay.Relay("node")
    node_relay.reset(fleet, after)
    return node_relay


def make_targets(count: int) -> model.Fleet:
    """Returns a fleet of `count` targets."""
    targets = {}
    for number in range(count):
        agent_address = address.Address(
            f"10.{number >> 8}.{number & 255}.1", 7000
        )
        name = f"target-{number}"
        targets[name] = model.Target(
            name,
            model.TargetKind.ENGINE,
            agent_address,
            f"dc-{number % 9}",
            "chat",
        )
    return model.Fleet("benchmark", 1, targets=targets)


def build_revisions(count: int) -> revisions.RevisionIndex:
    """Returns the record of `count` accepted revisions."""
    accepted_revisions = revisions.RevisionIndex()
    for number in range(1, count + 1):
        accepted_revisions.add(number, number.to_bytes(32, "little"))
    return accepted_revisions


def build_claims(count: int) -> claims.Claims:
    """Returns the state machine of a claims group with `count` claims."""
    machine = claims.Claims()
    for number in range(count):
        claim = claim_messages.Claim(
            f"w{number % 8}", f"key-{number}", b"digest", 1, os.urandom(16)
        )
        machine.apply(number, commands.pack(claim))
    return machine


def main() -> None:
    """Prints memory by number of workspaces, targets, revisions and claims."""
    for count in WORKSPACES:
        fleet = control_delivery.make_fleet(count)
        body = delta.pack(delta.diff(model.Fleet(), fleet))
        used, _ = measure(lambda body=body: build_relay(body))  # type: ignore[misc]
        started_s = time.perf_counter()
        digest = encoding.content_digest(fleet)
        digest_s = time.perf_counter() - started_s
        started_s = time.perf_counter()
        control_delivery.change_one(fleet, digest)
        change_s = time.perf_counter() - started_s
        print(
            f"{count} workspaces: {used / 1e6:.2f} MB a node, snapshot "
            f"{len(body) / 1e6:.3f} MB, one change {change_s * 1e3:.2f} ms, "
            f"whole digest {digest_s * 1e3:.1f} ms"
        )
    for count in TARGETS:
        body = delta.pack(delta.diff(model.Fleet(), make_targets(count)))
        used, _ = measure(lambda body=body: build_relay(body))  # type: ignore[misc]
        print(
            f"{count} targets: {used / 1e6:.2f} MB a node, "
            f"{used / count:.0f} B each, snapshot {len(body) / 1e6:.3f} MB"
        )
    used, _ = measure(lambda: build_revisions(revisions.MAX_REVISIONS))
    print(f"{revisions.MAX_REVISIONS} numbers: {used / 1e6:.1f} MB")
    for count in CLAIMS:
        used, machine = measure(lambda count=count: build_claims(count))  # type: ignore[misc]
        assert isinstance(machine, claims.Claims)
        started_s = time.perf_counter()
        size = len(machine.snapshot())
        snapshot_s = time.perf_counter() - started_s
        print(
            f"{count} claims: {used / 1e6:.1f} MB, snapshot "
            f"{size / 1e6:.1f} MB in {snapshot_s * 1e3:.0f} ms"
        )


if __name__ == "__main__":
    main()
