"""Goals of the experiments and their verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    Results = dict[str, dict[str, Any]]


class Goal(NamedTuple):
    """Bound on a figure that an experiment measures.

    Parameters
    ----------
    experiment : str
        Name of the experiment.
    text : str
        Description of the figure and its bound, as the report shows it.
    read_figure : callable
        Returns the measured figure from the experiment's result.
    is_met : callable
        Returns whether a figure meets the goal.
    """

    experiment: str
    text: str
    read_figure: Callable[[dict[str, Any]], float]
    is_met: Callable[[float], bool]


class Verdict(NamedTuple):
    """Measured figure of one goal.

    Parameters
    ----------
    goal : Goal
        The goal.
    figure : float or None
        Measured figure; None if the experiment did not run or did not report it.
    """

    goal: Goal
    figure: float | None

    @property
    def state(self) -> str:
        """Return ``met``, ``missed`` or ``not measured``."""
        if self.figure is None:
            return "not measured"
        return "met" if self.goal.is_met(self.figure) else "missed"


def find_best_baseline(shares: dict[str, float]) -> float:
    """Return the best figure among the policies other than ``default``."""
    return max(share for policy, share in shares.items() if policy != "default")


def _ratio_to_baseline(result: dict[str, Any]) -> float:
    baseline = find_best_baseline(result["whole_sheets"])
    default: float = result["whole_sheets"]["default"]
    return default / baseline if baseline else float("inf")


def _ratio_with_long_work(result: dict[str, Any]) -> float:
    default = result["short_p99_ms"]["default"]
    ratio: float = default["mixed"] / default["alone"]
    return ratio


def _read_key(key: str) -> Callable[[dict[str, Any]], float]:
    return lambda result: float(result[key])


def _at_most(bound: float) -> Callable[[float], bool]:
    return lambda figure: figure <= bound


def _at_least(bound: float) -> Callable[[float], bool]:
    return lambda figure: figure >= bound


def _below(bound: float) -> Callable[[float], bool]:
    return lambda figure: figure < bound


GOALS = (
    Goal(
        "overhead",
        "added at the 99th percentile, at most 1.1 ms",
        _read_key("added_p99_ms"),
        _at_most(1.1),
    ),
    Goal(
        "crest",
        "whole sheets against the best baseline, at least 2 times",
        _ratio_to_baseline,
        _at_least(2.0),
    ),
    Goal(
        "crest",
        "whole sheets against what capacity allows, at least 0.85",
        lambda result: result["whole_sheets"]["default"] / result["capacity_share"],
        _at_least(0.85),
    ),
    Goal(
        "blocking",
        "short p99 with long work against without, at most 1.5 times",
        _ratio_with_long_work,
        _at_most(1.5),
    ),
    Goal(
        "slowdown",
        "seconds until traffic has shifted, below 1",
        _read_key("seconds_to_shift"),
        _below(1.0),
    ),
    Goal(
        "load_cost",
        "cost at the crest as a share of the budget, at most 1",
        lambda result: result["crest"] / result["budget"],
        _at_most(1.0),
    ),
    Goal(
        "load_cost",
        "cost in calm times as a share of the budget, at most 1",
        lambda result: result["calm"] / result["budget"],
        _at_most(1.0),
    ),
    Goal(
        "silent_connections",
        "safe requests answered in the deadline, all",
        _read_key("answered_in_deadline"),
        _at_least(1.0),
    ),
    Goal("orders", "orders run twice, 0", _read_key("executed_twice"), _at_most(0)),
    Goal("orders", "refused but run, 0", _read_key("refused_but_run"), _at_most(0)),
    Goal("orders", "wrong answers, 0", _read_key("wrong_answers"), _at_most(0)),
    Goal(
        "config",
        "in force on 13 gateways, below 2,000 ms",
        _read_key("in_force_max_ms"),
        _below(2_000),
    ),
    Goal("config", "reverted, 0", _read_key("reverted"), _at_most(0)),
    Goal("config", "lost after all were killed, 0", _read_key("lost"), _at_most(0)),
    Goal(
        "recovery",
        "restart after 5,000 against 500 changes, ratio below 2",
        _read_key("ratio"),
        _below(2.0),
    ),
    Goal("recovery", "lost, 0", _read_key("lost"), _at_most(0)),
    Goal(
        "recovery",
        "failover gap, below 2 s",
        _read_key("failover_gap_s"),
        _below(2.0),
    ),
    Goal(
        "recovery",
        "data-path errors, 0",
        _read_key("data_path_errors"),
        _at_most(0),
    ),
    Goal(
        "drain",
        "last new work after the drain, below 2 s",
        _read_key("last_new_work_s"),
        _below(2.0),
    ),
    Goal("drain", "requests cut off, 0", _read_key("cut_off"), _at_most(0)),
)


def evaluate_goals(results: Results) -> list[Verdict]:
    """Compare the results of experiments with all goals.

    Parameters
    ----------
    results : dict of str to dict
        Result by name of the experiment.

    Returns
    -------
    list of Verdict
        One verdict for each goal, in the order of `GOALS`.
    """
    verdicts = []
    for goal in GOALS:
        try:
            figure: float | None = goal.read_figure(results[goal.experiment])
        except (KeyError, TypeError, ZeroDivisionError):
            figure = None
        verdicts.append(Verdict(goal, figure))
    return verdicts
