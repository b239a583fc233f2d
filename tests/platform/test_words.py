from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2] / "src" / "cactusstile"
ADAPTER = ROOT / "platform"
OUTSIDE = [
    path for path in sorted(ROOT.rglob("*.py")) if ADAPTER not in path.parents
]
FIELDS = re.compile(
    r"x-cactusstile-|kv-from|/-/|trafficSplit|pathPrefix|targetLatencyMs"
    r"|kvStoreAddr|apiKeys|maxAttempts|non_idempotent|bootEpoch|coldRemaining",
    re.IGNORECASE,
)


def _texts(path: pathlib.Path) -> list[str]:
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Constant):
            continue
        if isinstance(node.value, bytes):
            found.append(node.value.decode("latin-1"))
        elif isinstance(node.value, str):
            found.append(node.value)
    return found


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda path: path.name)
def test_platform_words_stay_in_the_adapter(path: pathlib.Path) -> None:
    found = [text for text in _texts(path) if FIELDS.search(text)]
    assert found == []


def test_adapter_holds_no_state_and_no_loop_over_time() -> None:
    for path in ADAPTER.glob("*.py"):
        text = path.read_text()
        assert "anyio.sleep" not in text, path.name
        assert "random" not in text, path.name
