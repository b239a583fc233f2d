from __future__ import annotations

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [*sorted((ROOT / "docs").glob("*.md")), ROOT / "README.md"]
TEST_NAME = re.compile(r"`(test_\w+)")
LINK = re.compile(r"\]\(([^)#:]+)\)")


def _find_test_names() -> set[str]:
    return {
        name
        for path in (ROOT / "tests").rglob("test_*.py")
        for name in re.findall(r"def (test_\w+)", path.read_text())
    }


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_page_refers_only_to_existing_tests_and_files(
    page: pathlib.Path,
) -> None:
    """Guards against pages with names of removed tests or dead links."""
    text = page.read_text()
    assert sorted(set(TEST_NAME.findall(text)) - _find_test_names()) == []
    for link in LINK.findall(text):
        assert (page.parent / link).exists(), f"dead link {link}"
