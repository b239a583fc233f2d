from __future__ import annotations

import contextlib
import json
import pathlib
import typing

import anyio
import anyio.to_thread
import pytest
from tests.support import control_cluster

from cactusstile.consensus import state as states
from cactusstile.console import application
from cactusstile.control import client
from cactusstile.control import exceptions
from cactusstile.control import messages
from cactusstile.state import holder
from cactusstile.state import model
from cactusstile.state import relay
from cactusstile.state import subscription
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

NEXT_COMMIT_S = 2.0
MIN_ELECTION_TIMEOUT_S = states.CoreSettings().election_timeout_s
FAILOVER_TIMEOUT_S = 4.0
STORES = """
[target a1]
kind = store
agent = 127.0.0.1:7100
data_centre = ikeja

[target absent]
kind = store
agent = 127.0.0.1:7101
data_centre = ikeja
"""


def _write_fleet(
    folder: pathlib.Path, revision: int, share: int = 1, extra: str = ""
) -> str:
    path = folder / f"fleet-{revision}-{share}.ini"
    path.write_text(
        f"[fleet]\nname = lagos\nrevision = {revision}\n"
        f"[workspace bank]\nshare = {share}\n{extra}"
    )
    return str(path)


async def _run_command(
    cluster: control_cluster.Cluster, *arguments: str
) -> int:
    settings = ["--settings", str(cluster.folder / "operator.ini")]
    return await anyio.to_thread.run_sync(
        application.run, [*arguments, *settings]
    )


@contextlib.asynccontextmanager
async def _open_subscriber(
    cluster: control_cluster.Cluster,
) -> collections.abc.AsyncIterator[
    tuple[holder.FleetHolder, subscription.Subscriber]
]:
    identity = handshake.Identity("agent", "a1")
    fleet_holder = holder.FleetHolder()
    async with (
        pool.open_pool(identity, control_cluster.SECRETS) as connections,
        anyio.create_task_group() as group,
    ):
        subscriber = subscription.Subscriber(
            fleet_holder,
            relay.Relay("a1", is_agent=True),
            connections,
            client.ControlClient(connections, cluster.addresses),
        )
        group.start_soon(subscriber.run)
        yield fleet_holder, subscriber
        group.cancel_scope.cancel()


async def _wait_for_revision(
    fleet_holder: holder.FleetHolder, revision: int, wait_timeout_s: float
) -> None:
    with anyio.fail_after(wait_timeout_s):
        while fleet_holder.fleet.revision < revision:
            await anyio.sleep(0.01)


async def test_operator_commands_against_real_processes(
    cluster: control_cluster.Cluster, capsys: pytest.CaptureFixture[str]
) -> None:
    """Exit codes and messages of the operator commands must stay correct."""
    folder = cluster.folder
    first = _write_fleet(folder, 5)
    assert await _run_command(cluster, "apply", first) == 0
    assert await _run_command(cluster, "apply", first) == 0, "resend"
    assert await _run_command(cluster, "apply", _write_fleet(folder, 5, 2)) == 5
    assert "first used by ada" in capsys.readouterr().err
    assert await _run_command(cluster, "apply", _write_fleet(folder, 4)) == 5
    assert "revision 5 is in force" in capsys.readouterr().err
    assert await _run_command(cluster, "diff", _write_fleet(folder, 6, 3)) == 0
    assert "changed  workspace/bank share" in capsys.readouterr().out
    assert await _run_command(cluster, "history", "--json") == 0
    records = json.loads(capsys.readouterr().out)
    assert [record["revision"] for record in records] == [5]
    assert await _run_command(cluster, "member", "list") == 0
    assert capsys.readouterr().out.count("voter") == 18
    assert await _run_command(cluster, "member", "paint") == 2
    assert await _run_command(cluster, "member", "remove", "nobody") == 5
    assert "nobody is not a member" in capsys.readouterr().err


async def test_apply_waits_and_names_what_is_missing(
    cluster: control_cluster.Cluster, capsys: pytest.CaptureFixture[str]
) -> None:
    """An incomplete apply must not be reported as in force everywhere."""
    async with _open_subscriber(cluster) as (fleet_holder, subscriber):
        with anyio.fail_after(FAILOVER_TIMEOUT_S):
            await fleet_holder.confirmed.wait()
            while subscriber.parent is None:
                await anyio.sleep(0.01)
        first = _write_fleet(cluster.folder, 1)
        assert await _run_command(cluster, "apply", first, "--wait") == 0
        assert "in force on 4 of 4 processes" in capsys.readouterr().out
        assert subscriber.parent is not None
        parent = cluster.name_of(subscriber.parent)
        cluster.partitioned_names.add(parent)
        second = _write_fleet(cluster.folder, 2)
        wait = ["--wait", "--timeout_s", "0.1"]
        assert await _run_command(cluster, "apply", second, *wait) == 7
        assert "does not answer" in capsys.readouterr().out
        await _wait_for_revision(fleet_holder, 2, FAILOVER_TIMEOUT_S)
        cluster.partitioned_names.clear()
        assert await _run_command(cluster, "apply", second, "--wait") == 0
        third = _write_fleet(cluster.folder, 3, extra=STORES)
        assert await _run_command(cluster, "apply", third, *wait) == 7
        shown = capsys.readouterr().out
        assert "1 declared targets have no agent" in shown
        assert "no agent: absent\n" in shown
        assert "no agent: a1" not in shown


async def test_roles_and_shutdown(cluster: control_cluster.Cluster) -> None:
    """Agents cannot change the fleet; a stopping leader transfers its role."""
    async with cluster.open_client("a1", "agent") as control:
        with pytest.raises(exceptions.CallRefusedError) as caught:
            await control.apply(model.Fleet(), model.Fleet("lagos", 1))
        assert caught.value.code == "forbidden"
        assert (await control.read_fleet()).revision == 0
        await control.take_fence("t")
        leader = cluster.name_of(control.leader)
        gaps: list[float] = []
        async with anyio.create_task_group() as group:
            group.start_soon(_commit_repeatedly, control, gaps)
            await anyio.sleep(0.2)
            code = await anyio.to_thread.run_sync(cluster.terminate, leader)
            assert code == 0
            await anyio.sleep(NEXT_COMMIT_S)
            group.cancel_scope.cancel()
        assert max(gaps) < MIN_ELECTION_TIMEOUT_S


async def test_cut_off_leader_answers_no_reads(
    cluster: control_cluster.Cluster,
) -> None:
    """A replica that is not the leader must not return stale state."""
    identity = handshake.Identity("agent", "a1")
    async with (
        cluster.open_client("a1", "agent") as control,
        pool.open_pool(identity, control_cluster.SECRETS) as connections,
    ):
        assert await control.take_fence("t") == 1
        relays = dict(zip(cluster.addresses, cluster.relays, strict=True))
        old_leader_relay = relays[control.leader]
        old_leader_relay.cut()
        assert await control.take_fence("t") == 2
        read = messages.ReadFence("t")
        for queried_address in (
            old_leader_relay.upstream,
            _find_follower(cluster, control),
        ):
            with pytest.raises(transport_exceptions.TransportError):
                await connections.call(queried_address, read, timeout_s=0.5)


def _find_follower(
    cluster: control_cluster.Cluster, control: client.ControlClient
) -> address.Address:
    """Returns the address of a connected replica that is not the leader."""
    for cluster_relay in cluster.relays:
        is_partitioned = cluster_relay.name in cluster.partitioned_names
        if cluster_relay.bound != control.leader and not is_partitioned:
            return cluster_relay.upstream
    raise AssertionError("no follower")


async def _commit_repeatedly(
    control: client.ControlClient, gaps: list[float]
) -> None:
    while True:
        started_s = anyio.current_time()
        await control.take_fence("t")
        gaps.append(anyio.current_time() - started_s)
        await anyio.sleep(0.005)


def test_command_without_reachable_control_explains_the_remedy(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An operator must learn why a command failed and what to check."""
    secret = tmp_path / "operator.secret"
    secret.write_bytes(control_cluster.OPERATOR_SECRET)
    settings = tmp_path / "operator.ini"
    settings.write_text(
        "[operator]\nname = ada\ncontrol = 127.0.0.1:1\n"
        f"operator_secret_file = {secret}\n"
    )
    arguments = ["history", "--timeout_s", "0.3", "--settings", str(settings)]
    assert application.run(arguments) == 6
    assert "check the control VMs" in capsys.readouterr().err
