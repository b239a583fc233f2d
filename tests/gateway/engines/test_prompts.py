"""Prompts as callers describe them in header fields."""

from __future__ import annotations

import pytest
from tests.gateway import support

from cactusstile.gateway import admission
from cactusstile.gateway import routes
from cactusstile.gateway.engines import prompts
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.sites import model


# Guards against addresses of stores that engines take for those of other parts,
# since an unreadable part is left out by the gateway alone.
@pytest.mark.parametrize("unreadable", ["b:x", "b", ":5", "b:-1", "b:99999999"])
def test_parts_after_an_unreadable_one_move_up(unreadable: str) -> None:
    prompt = prompts.parse("m", "90,9", f"a:10,{unreadable},c:20,own:5")
    assert prompt.parts == (prompts.Part("a", 10),)
    assert prompt.tokens == 90
    assert prompt.shared_ids() == ("a",)


# Guards against a shared part that counts as the caller's own, since it is the
# last one that is read.
def test_last_part_that_is_read_passes_for_the_last_of_the_prompt() -> None:
    names = [f"p{number}" for number in range(prompts.MAX_PARTS + 1)]
    parts = ",".join(f"{name}:1" for name in names)
    assert prompts.parse("m", "90,9", parts).shared_ids() == tuple(names[:-1])


# Guards against a list of which only the first of several lines is read, while
# engines receive and read them all.
def test_parts_in_a_second_line_are_left_out() -> None:
    route = support.route(model.Kind.STREAM)
    table = routes.build(support.configuration(route))
    request = messages.Request(
        b"POST",
        b"/a/x",
        (
            (b"host", b"h"),
            (headers.PROMPT_PARTS, b"a:10"),
            (headers.PROMPT_PARTS, b"b:20, own:5"),
        ),
    )
    prompt = admission.admit(table, request).prompt
    assert prompt.shared_ids() == ("a", "b")
