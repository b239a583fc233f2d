from __future__ import annotations

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
