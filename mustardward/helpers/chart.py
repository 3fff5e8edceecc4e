"""Load state charts from YAML files and evaluate their transitions.

A chart file has ``name``, ``initial``, and ``states``: a map from state to ``final``
(optional) and ``on``, a map from event to next state.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib import resources

import yaml

from ..exceptions import ChartError, TransitionError


@dataclass(frozen=True, slots=True)
class Chart:
    """State machine of one kind of object: its states and transitions."""

    name: str
    initial: str
    transitions: dict[str, dict[str, str]]
    final_states: frozenset[str]

    def next_state(self, state: str, event: str) -> str:
        """Return the state after ``event``.

        :raises TransitionError: if ``state`` does not accept ``event``.
        """
        target = self.transitions.get(state, {}).get(event)
        if target is None:
            raise TransitionError(f"chart={self.name} state={state} event={event}")
        return target

    def accepts(self, state: str, event: str) -> bool:
        """Return whether ``state`` accepts ``event``."""
        return event in self.transitions.get(state, {})

    def is_final(self, state: str) -> bool:
        """Return whether ``state`` has no transitions."""
        return state in self.final_states


def parse_chart(text: str) -> Chart:
    """Return the chart defined by a YAML text.

    :raises ChartError: if a transition or the initial state refers to no state.
    """
    data = yaml.safe_load(text)
    states = data["states"]
    transitions = {
        name: dict((body or {}).get("on") or {}) for name, body in states.items()
    }
    final = frozenset(name for name, body in states.items() if not transitions[name])
    _check_targets(str(data["name"]), str(data["initial"]), transitions)
    return Chart(str(data["name"]), str(data["initial"]), transitions, final)


@cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.yaml``.

    :raises ChartError: if the file is invalid.
    """
    folder = resources.files("mustardward") / "charts"
    return parse_chart((folder / f"{name}.yaml").read_text(encoding="utf-8"))


def _check_targets(
    name: str, initial: str, transitions: dict[str, dict[str, str]]
) -> None:
    targets = {target for on in transitions.values() for target in on.values()}
    missing = (targets | {initial}) - transitions.keys()
    if missing:
        raise ChartError(f"chart={name} undefined={sorted(missing)}")
