"""Test that policies can be disabled by name without affecting others."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

import mustardward.node.app  # noqa: F401 - registers all policies
from mustardward.components.fleet.pool_surplus import idle_timeout_seconds, surplus
from mustardward.components.scheduling.job_order import (
    Capacity,
    by_slack,
    by_work,
    choose_order,
)
from mustardward.exceptions import SettingsError
from mustardward.helpers.policies import (
    POLICIES,
    UnknownPolicyError,
    switch_off,
    switched_off,
)
from mustardward.node.settings import EntrySettings, load_settings

PAGE = Path(__file__).parents[2] / "docs" / "measurements" / "ablation.md"


@pytest.fixture(autouse=True)
def enable_all() -> Iterator[None]:
    """Enable all policies after each test."""
    yield
    switch_off(())


def test_disabled_policy_is_replaced() -> None:
    overload = (1000.0, Capacity(available=1.0))
    assert choose_order(*overload) is by_work
    assert surplus(5, 2) == 3
    switch_off(["order-by-load", "lending"])
    assert choose_order(*overload) is by_slack
    assert surplus(5, 2) == 0
    assert idle_timeout_seconds() > 0
    assert switched_off() == ["lending", "order-by-load"]
    switch_off(())
    assert choose_order(*overload) is by_work


def test_unknown_name_changes_nothing() -> None:
    switch_off(["idle-time"])
    with pytest.raises(UnknownPolicyError, match="no-such"):
        switch_off(["lending", "no-such"])
    assert switched_off() == ["idle-time"]


def test_settings_list_the_disabled_policies(tmp_path: Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text("policies-off: [lending]\n")
    assert load_settings(str(path)).policies_off == ("lending",)
    assert load_settings("") == EntrySettings()


@pytest.mark.parametrize("text", ["policy-off: [lending]", "policies-off: 3", "a: ["])
def test_invalid_settings_are_rejected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=r"entry\.yaml"):
        load_settings(str(path))
    with pytest.raises(SettingsError):
        load_settings(str(tmp_path / "missing.yaml"))


def test_each_policy_has_a_purpose_and_a_documented_measurement() -> None:
    page = PAGE.read_text()
    for name in POLICIES:
        assert POLICIES[name]
        assert f"| {name} |" in page
