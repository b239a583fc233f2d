from __future__ import annotations

from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.entry import home_routes
from cactusstile.entry import routes
from cactusstile.state import model
from cactusstile.store import client
from cactusstile.transport import address

SMALL_BLOCK_BYTES = 4096


def _target(name: str, kind: str, data_centre: str) -> model.Target:
    serves = "chat" if kind == "engine" else ""
    bound = address.Address("127.0.0.1", 1)
    return model.Target(
        name, model.TargetKind(kind), bound, data_centre, serves
    )


def test_small_blocks_make_a_link_cheap() -> None:
    near = _target("near", "engine", "prai")
    far = _target("far", "engine", "bayan")
    store = _target("store", "store", "prai")
    link = model.Link(("bayan", "prai"), 1e6)
    fleet = model.Fleet(
        deployments={"chat": model.Deployment("chat", "m", "v1")},
        targets={target.name: target for target in (near, far, store)},
        links={link.data_centres: link},
    )
    # The link transfers 40 blocks in 160 ms; the near target's queue takes 2 s.
    call = calls.PromptCall("k", "w", "chat", "", (1,) * 640, b"p", 8)

    def reply(wait_ms: int) -> messages.ProbeReply:
        return messages.ProbeReply(
            1, "v1", 0, 0, 0, 8, wait_ms, 640, block_bytes=SMALL_BLOCK_BYTES
        )

    probed = [
        routes.ProbedTarget(near, reply(2000)),
        routes.ProbedTarget(far, reply(0)),
    ]
    placement = home_routes.build(lambda: fleet).choose(
        call, "", probed, client.StoredPrefix(None)
    )
    assert placement.target is far
