"""Cluster-wide budget for retries and hedges."""

from __future__ import annotations

from geraniumbend.retries._budget import RetryBudget

__all__ = ["RetryBudget"]
