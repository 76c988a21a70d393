"""Metrics with bounded label sets, rendered for Prometheus."""

from __future__ import annotations

from geraniumbend._metrics import Metric, MetricSet

__all__ = ["Metric", "MetricSet"]
