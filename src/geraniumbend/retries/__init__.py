"""Cluster-wide budget for retries and hedges."""

from __future__ import annotations

from geraniumbend.retries._budget import RetryBudget
from geraniumbend.retries._hedge_budget import HedgeBudget

__all__ = ["HedgeBudget", "RetryBudget"]
