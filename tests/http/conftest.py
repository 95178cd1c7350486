"""Fixtures of the tests of HTTP connections."""

from __future__ import annotations

import pytest

from rosewheel.http import idle_connections


@pytest.fixture
def no_quiet_period(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections may be used again at once, since these tests send faster than any server responds."""
    monkeypatch.setattr(idle_connections, "REUSE_QUIET_PERIOD_S", -1.0)
