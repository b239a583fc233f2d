from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2] / "src" / "cactusstile"
ADAPTER = ROOT / "platform"
OTHER_SOURCES = [
    path for path in sorted(ROOT.rglob("*.py")) if ADAPTER not in path.parents
]
PLATFORM_NAMES = re.compile(
    r"x-cactusstile-|kv-from|server-leaving|/-/|trafficSplit|pathPrefix|targetLatencyMs"
    r"|kvStoreAddr|apiKeys|maxAttempts|non_idempotent|bootEpoch|coldRemaining",
    re.IGNORECASE,
)


def _literals(path: pathlib.Path) -> list[str]:
    literals = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Constant):
            continue
        if isinstance(node.value, bytes):
            literals.append(node.value.decode("latin-1"))
        elif isinstance(node.value, str):
            literals.append(node.value)
    return literals


@pytest.mark.parametrize("path", OTHER_SOURCES, ids=lambda path: path.name)
def test_platform_names_occur_only_in_the_adapter(path: pathlib.Path) -> None:
    uses = [text for text in _literals(path) if PLATFORM_NAMES.search(text)]
    assert uses == []


def test_adapter_neither_sleeps_nor_draws_random_numbers() -> None:
    for path in ADAPTER.glob("*.py"):
        text = path.read_text()
        assert "anyio.sleep" not in text, path.name
        assert "random" not in text, path.name
