from __future__ import annotations

from cactusstile.gateway import target_view
from cactusstile.gateway import target_views
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.platform import loads
from cactusstile.sites import model
from cactusstile.transport import address

TARGET = model.Target("t", "s", address.Address("127.0.0.1", 1), "d", 8)
ENGINE = model.Engine(slots=8, kv_tokens=1000)


def view_of(targets: target_views.TargetViews) -> target_view.TargetView:
    return targets.views["t", 0]


def make_views(*listed: model.Target) -> target_views.TargetViews:
    targets = target_views.TargetViews()
    targets.update(listed, {}, 0.0)
    return targets


def test_failing_target_is_ejected_for_bounded_time() -> None:
    view = view_of(make_views(TARGET))
    view.record_failure(0.0)
    assert view.is_usable(0.0)
    for _ in range(5000):
        view.record_failure(0.0)
    assert not view.is_usable(3.9)
    assert view.is_usable(4.0)
    view.record_success(0.0)
    view.record_failure(5.0)
    assert view.is_usable(5.0)


def test_cache_capacity_follows_newest_configuration() -> None:
    targets = make_views(TARGET)
    service = model.Service("s", engine=ENGINE)
    targets.update((TARGET,), {"s": service}, 0.0)
    assert view_of(targets).cached.capacity_tokens == 1000


def test_restarted_target_gets_new_view() -> None:
    targets = make_views(TARGET)
    view_of(targets).inflight = 3
    restarted = model.Target("t", "s", TARGET.address, "d", 8, born_ms=17)
    targets.update((restarted,), {}, 0.0)
    assert list(targets.views) == [("t", 17)]
    assert targets.views["t", 17].inflight == 0


def test_load_report_yields_inflight_of_other_gateways() -> None:
    view = view_of(make_views(TARGET))
    view.inflight = 2
    view.record_load(loads.Load(5, 1, 8), 10.0)
    assert view.others(10.0) == 4
    assert view.others(10.0 + target_view.LOAD_REPORT_MAX_AGE_S + 0.1) == 0
    for text in (b"", b"1,2", b"a,b,c", b"1,2,3,4,5", b"3,0,48,-1"):
        head = messages.ResponseHead(200, ((headers.LOAD, text),))
        view.record_load(loads.find(head), 11.0)
    view.record_load(loads.find(messages.ResponseHead(200, ())), 11.0)
    assert view.others(10.0) == 4


def test_load_report_of_four_figures_is_dropped() -> None:
    view = view_of(make_views(TARGET))
    head = messages.ResponseHead(200, ((headers.LOAD, b"5,1,8,250"),))
    view.record_load(loads.find(head), 10.0)
    assert view.others(10.0) == 6
    assert view.speed.slowness(10.0) == 2.5
