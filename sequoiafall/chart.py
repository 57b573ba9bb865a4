"""State charts of lifecycles, interpreted from ``charts/*.yaml``.

A chart is loaded once with sismic's model and reduced to a table of transitions,
so that a step costs one lookup. Our charts use no guards, actions, parallel states
or history; a chart that does is rejected when it is loaded.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure, Result, Success
from sismic.io import import_from_yaml
from sismic.model import CompoundState, FinalState, Statechart

CHARTS_DIRECTORY = Path(__file__).parent / "charts"


class ChartError(ValueError):
    """A chart uses a feature that the interpreter does not support."""


@dataclass(slots=True, frozen=True)
class UnexpectedEvent:
    """An event for which the current state has no transition."""

    chart: str
    state: str
    event: str

    def __str__(self) -> str:
        return f"{self.chart}: no transition from {self.state} on {self.event}"


@dataclass(slots=True, frozen=True)
class Chart:
    """Table of the transitions between the leaf states of a chart.

    Parameters
    ----------
    name : str
        Name of the chart.
    initial : str
        Leaf state in which each run starts.
    targets_by_step : mapping of (state, event) to state
        All transitions.
    final_states : frozenset of str
        States in which a run has ended.
    """

    name: str
    initial: str
    targets_by_step: Mapping[tuple[str, str], str]
    final_states: frozenset[str]

    @classmethod
    def from_statechart(cls, model: Statechart) -> Chart:
        """Reduce a sismic state chart to a table of transitions.

        Raises
        ------
        ChartError
            If the chart uses an unsupported feature.
        """
        targets: dict[tuple[str, str], str] = {}
        final = set()
        for state in model.states:
            kind = type(model.state_for(state))
            if model.children_for(state):
                if kind is not CompoundState:
                    raise ChartError(f"{model.name}: {state} is a {kind.__name__}")
                continue
            if kind is FinalState:
                final.add(state)
            # Transitions of inner states take precedence, as in sismic.
            for source in [state, *model.ancestors_for(state)]:
                for transition in model.transitions_from(source):
                    if transition.guard or transition.action or not transition.event:
                        raise ChartError(f"{model.name}: {transition} is unsupported")
                    target = _leaf_of(model, transition.target or state)
                    targets.setdefault((state, transition.event), target)
        return cls(model.name, _leaf_of(model, model.root), targets, frozenset(final))


def _leaf_of(model: Statechart, state: str) -> str:
    while model.children_for(state):
        initial = getattr(model.state_for(state), "initial", None)
        if initial is None:
            raise ChartError(f"{model.name}: {state} has no initial state")
        state = initial
    return state


@functools.cache
def load_chart(name: str) -> Chart:
    """Load ``charts/<name>.yaml``.

    Raises
    ------
    ChartError
        If the chart uses an unsupported feature.
    """
    model = import_from_yaml(filepath=str(CHARTS_DIRECTORY / f"{name}.yaml"))
    return Chart.from_statechart(model)


class Lifecycle:
    """One run of a state chart.

    Parameters
    ----------
    name : str
        Name of the chart, without directory and suffix.
    """

    __slots__ = ("_chart", "state")

    def __init__(self, name: str) -> None:
        self._chart = load_chart(name)
        self.state = self._chart.initial

    @property
    def is_final(self) -> bool:
        """Whether the run has ended."""
        return self.state in self._chart.final_states

    def expects(self, event: str) -> bool:
        """Whether the current state has a transition for the event."""
        return (self.state, event) in self._chart.targets_by_step

    def step(self, event: str) -> Result[str, UnexpectedEvent]:
        """Take the transition of an event.

        Returns
        -------
        Result
            The new state, or `UnexpectedEvent`, which leaves the state unchanged.
        """
        target = self._chart.targets_by_step.get((self.state, event))
        if target is None:
            return Failure(UnexpectedEvent(self._chart.name, self.state, event))
        self.state = target
        return Success(target)

    def handle(self, event: str) -> bool:
        """Take the transition of an event and return whether there is one."""
        return isinstance(self.step(event), Success)
