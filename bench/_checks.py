"""Checks that the figures of an experiment come from successful requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Sequence

# Share of the planned requests that must be measured for quantiles to be meaningful.
MIN_MEASURED_SHARE = 0.95


class ExperimentError(GeraniumbendError):
    """An experiment has no valid result because its requests failed."""

    exit_code = 11


def require_success(
    statuses: Sequence[int], planned: int, allowed_failures: int = 0
) -> None:
    """Check that enough requests were measured and that they succeeded.

    Parameters
    ----------
    statuses : sequence of int
        HTTP status of each measured request, 0 without a response.
    planned : int
        Number of requests that should have been measured.
    allowed_failures : int, default=0
        Number of failures that the experiment causes on purpose.

    Raises
    ------
    ExperimentError
        If too many requests failed or too few were measured.
    """
    failed = [status for status in statuses if status != 200]
    if len(failed) > allowed_failures:
        raise ExperimentError(
            f"{len(failed)} of {len(statuses)} requests failed, "
            f"statuses {sorted(set(failed))}",
            "see the gateway logs in the experiment's folder",
        )
    if len(statuses) < MIN_MEASURED_SHARE * planned:
        raise ExperimentError(
            f"{len(statuses)} of {planned} requests were measured",
            "run the experiment on a less loaded machine",
        )


def require_accepted(status: int, text: str) -> None:
    """Check that a gateway has accepted the announcement of a stub server.

    Raises
    ------
    ExperimentError
        If the status is 400 or higher.
    """
    if status >= 400:
        raise ExperimentError(
            f"announcement refused with {status}: {text[:200]}",
            "send the fields listed in docs/reference/announcements.md",
        )
