from __future__ import annotations

import ast
import importlib
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = sorted((ROOT / "src").rglob("*.py"))
ALL_FILES = SOURCES + [
    path
    for folder in ("benchmarks", "tests")
    for path in sorted((ROOT / folder).rglob("*.py"))
]
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 40


def _relative_name(path: pathlib.Path) -> str:
    return str(path.relative_to(ROOT))


def _is_module(package: str, name: str) -> bool:
    if package == "__future__":
        return True
    try:
        importlib.import_module(f"{package}.{name}")
    except ModuleNotFoundError:
        return False
    return True


@pytest.mark.parametrize("path", ALL_FILES, ids=_relative_name)
def test_module_follows_layout_rules(path: pathlib.Path) -> None:
    """Checks lengths of files and functions, and that imports are modules."""
    text = path.read_text()
    tree = ast.parse(text)
    assert len(text.splitlines()) <= MAX_FILE_LINES
    assert "from __future__ import annotations" in text
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, "relative import"
            for alias in node.names:
                assert _is_module(node.module or "", alias.name), (
                    f"{node.module}.{alias.name} is not a module"
                )
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            length = node.end_lineno - node.lineno + 1
            assert length <= MAX_FUNCTION_LINES, f"{node.name}: {length} lines"
