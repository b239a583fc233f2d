"""Answers to the question whether a gateway holds the newest state."""

from __future__ import annotations

import typing

import anyio
import pytest

from cactusstile.registry import feed as feeds
from cactusstile.registry import state
from cactusstile.sites import messages
from cactusstile.sites import view_messages
from cactusstile.transport import messages as transport_messages

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.sites import model
    from cactusstile.transport import incoming

pytestmark = pytest.mark.anyio


class Status(typing.NamedTuple):
    members: tuple[object, ...] = ()


class SlowQuorum:
    """Test double of a leader whose quorum answers when it is told to."""

    is_leader = True

    def __init__(self) -> None:
        self.permits = anyio.Semaphore(0)
        self.barriers = 0

    async def read_barrier(self) -> int:
        self.barriers += 1
        await self.permits.acquire()
        return 1

    def status(self) -> Status:
        return Status()


class Gateway:
    """Gateway that remembers the confirmations that it was sent."""

    def __init__(self) -> None:
        self.peer = transport_messages.Hello((1,), "gateway", "g", 1, b"")
        self.items: list[object] = []

    @property
    def answered(self) -> list[int]:
        return [
            item.question
            for item in self.items
            if isinstance(item, messages.Confirmation)
        ]

    async def send(self, item: object, payload: bytes | None = None) -> None:
        del payload
        self.items.append(item)


async def _watch(
    feed: feeds.Feed, gateway: Gateway, group: anyio.abc.TaskGroup
) -> None:
    member = messages.GatewayMember("127.0.0.1:1", "d", 100.0)
    responder = typing.cast("incoming.Responder", gateway)
    watch = messages.Watch(-1, member, 7)
    group.start_soon(feed.serve_watch, responder, watch)
    await anyio.sleep(0.01)


async def test_question_is_answered_by_an_earlier_quorum() -> None:
    quorum = SlowQuorum()
    feed = feeds.Feed(state.SiteState(), typing.cast("replica.Replica", quorum))
    gateway = Gateway()
    async with anyio.create_task_group() as group:
        await _watch(feed, gateway, group)
        assert not gateway.answered
        quorum.permits.release()
        await anyio.sleep(0.01)
        assert gateway.answered == [7]
        group.start_soon(feed.run_confirmations)
        await anyio.sleep(0.01)
        # The confirmation that is on its way began before this question.
        question = view_messages.ViewQuestion(8, urgent=False)
        feed.view_answers.receive(gateway.peer, question)
        quorum.permits.release()
        await anyio.sleep(0.01)
        assert gateway.answered == [7, 7]
        with anyio.fail_after(2):
            while gateway.answered[-1] != 8:
                quorum.permits.release()
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


async def test_urgent_question_waits_for_the_next_regular_confirmation() -> (
    None
):
    quorum = SlowQuorum()
    feed = feeds.Feed(state.SiteState(), typing.cast("replica.Replica", quorum))
    gateway = Gateway()
    async with anyio.create_task_group() as group:
        quorum.permits.release()
        quorum.permits.release()
        await _watch(feed, gateway, group)
        group.start_soon(feed.run_confirmations)
        await anyio.sleep(0.01)
        question = view_messages.ViewQuestion(9, urgent=True)
        feed.view_answers.receive(gateway.peer, question)
        quorum.permits.release()
        await anyio.sleep(feeds.CONFIRMATION_INTERVAL_S / 2)
        assert gateway.answered[-1] == 9
        group.cancel_scope.cancel()


async def test_list_of_an_earlier_leadership_is_sent_as_the_present_one() -> (
    None
):
    quorum = SlowQuorum()
    feed = feeds.Feed(state.SiteState(), typing.cast("replica.Replica", quorum))
    targets: tuple[model.Target, ...] = ()
    feed.set_targets(targets)
    quorum.is_leader = False
    gateway = Gateway()
    async with anyio.create_task_group() as group:
        group.start_soon(feed.run_confirmations)
        await anyio.sleep(0.01)
        quorum.is_leader = True
        for _ in range(5):
            quorum.permits.release()
        await _watch(feed, gateway, group)
        lists = [one for one in gateway.items if "List" in type(one).__name__]
        assert not lists
        feed.set_targets(targets)
        await anyio.sleep(0.01)
        assert messages.TargetList(()) in gateway.items
        group.cancel_scope.cancel()
