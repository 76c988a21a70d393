"""Registry and options of the experiments."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from geraniumbend.registries import Registry


class Options(NamedTuple):
    """Options of every experiment.

    Parameters
    ----------
    seed : int, default=1
        Seed of all random choices.
    scale : float, default=1.0
        Factor on the duration of the load; smaller for tests.
    faults : tuple of str, default=()
        Names of the faults to draw from; all if empty.
    """

    seed: int = 1
    scale: float = 1.0
    faults: tuple[str, ...] = ()


Experiment = Callable[[Options], Coroutine[Any, Any, dict[str, Any]]]
experiments: Registry[Experiment] = Registry("experiment")
