"""Metrics of a process and their text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    Labels = tuple[str, ...]

# Bounds the memory for labels whose values callers or servers choose; further label
# values share the series `other`.
MAX_SERIES = 500
OTHER = "other"
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Metric(NamedTuple):
    """Declaration of a metric.

    Parameters
    ----------
    name : str
        Name with unit suffix, without the ``geraniumbend_`` prefix.
    kind : {"counter", "gauge", "histogram"}
        Kind of the metric.
    description : str
        Help text with the unit.
    labels : tuple of str, default=()
        Names of the labels.
    """

    name: str
    kind: str
    description: str
    labels: tuple[str, ...] = ()


class MetricSet:
    """All metrics of one process.

    Observations are collected in plain dictionaries and passed to aioprometheus at
    each scrape, because its counters take several microseconds per call.
    """

    def __init__(self) -> None:
        self._metrics: dict[str, Metric] = {}
        self._values: dict[str, dict[Labels, float]] = {}
        self._samples: dict[str, dict[Labels, list[float]]] = {}
        self._gauge_readers: dict[str, Callable[[], Mapping[Labels, float]]] = {}
        self._registry = Registry()
        self._collectors: dict[str, Counter | Gauge | Histogram] = {}

    def declare_counter(
        self, name: str, description: str, labels: Labels = ()
    ) -> Callable[..., None]:
        """Declare a counter.

        Parameters
        ----------
        name : str
            Name that ends in ``_total``.
        description : str
            Help text.
        labels : tuple of str, default=()
            Names of the labels.

        Returns
        -------
        callable
            ``add(*label_values, amount=1)``.
        """
        self._declare(Metric(name, "counter", description, labels), Counter)
        values: dict[Labels, float] = {}
        self._values[name] = values

        def add(*label_values: str, amount: float = 1) -> None:
            key = limit_cardinality(label_values, values)
            values[key] = values.get(key, 0) + amount

        return add

    def declare_histogram(
        self, name: str, description: str, labels: Labels = ()
    ) -> Callable[..., None]:
        """Declare a histogram of durations.

        Parameters
        ----------
        name : str
            Name that ends in ``_seconds``.
        description : str
            Help text.
        labels : tuple of str, default=()
            Names of the labels.

        Returns
        -------
        callable
            ``observe(value, *label_values)`` with the value in seconds.
        """
        collector = Histogram(
            f"geraniumbend_{name}",
            description,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._register(Metric(name, "histogram", description, labels), collector)
        samples: dict[Labels, list[float]] = {}
        self._samples[name] = samples

        def observe(value: float, *label_values: str) -> None:
            key = limit_cardinality(label_values, samples)
            pending = samples.get(key)
            if pending is None:
                samples[key] = [value]
                return
            pending.append(value)
            if len(pending) >= 1000:
                self._flush(name, key)

        return observe

    def declare_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Mapping[Labels, float]],
        labels: Labels = (),
    ) -> None:
        """Declare a gauge that is read at each scrape.

        Parameters
        ----------
        name : str
            Name with unit suffix.
        description : str
            Help text.
        read : callable
            Returns values by label values.
        labels : tuple of str, default=()
            Names of the labels.
        """
        self._declare(Metric(name, "gauge", description, labels), Gauge)
        self._gauge_readers[name] = read

    def declared(self) -> list[Metric]:
        """Return all declared metrics in order of their names."""
        return [self._metrics[name] for name in sorted(self._metrics)]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format 0.0.4."""
        for name, values in self._values.items():
            self._set(name, values)
        for name, read in self._gauge_readers.items():
            collector = self._collectors[name]
            collector.values.clear()
            self._set(name, dict(list(read().items())[:MAX_SERIES]))
        for name, samples in self._samples.items():
            for key in samples:
                self._flush(name, key)
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _set(self, name: str, values: Mapping[Labels, float]) -> None:
        collector = self._collectors[name]
        assert isinstance(collector, Counter | Gauge)
        for key, value in values.items():
            collector.set(self._name_labels(name, key), value)

    def _flush(self, name: str, key: Labels) -> None:
        collector = self._collectors[name]
        assert isinstance(collector, Histogram)
        labels = self._name_labels(name, key)
        pending = self._samples[name][key]
        for value in pending:
            collector.observe(labels, float(value))
        pending.clear()

    def _name_labels(self, name: str, key: Labels) -> dict[str, str]:
        return dict(zip(self._metrics[name].labels, key, strict=True))

    def _declare(self, metric: Metric, kind: type[Counter] | type[Gauge]) -> None:
        name = f"geraniumbend_{metric.name}"
        self._register(metric, kind(name, metric.description, registry=self._registry))

    def _register(self, metric: Metric, collector: Counter | Gauge | Histogram) -> None:
        if metric.name in self._metrics:
            raise ValueError(f"metric {metric.name!r} is declared twice")
        self._metrics[metric.name] = metric
        self._collectors[metric.name] = collector


def limit_cardinality(label_values: Labels, known: Mapping[Labels, object]) -> Labels:
    """Return the label values; ``other`` for new ones beyond `MAX_SERIES`."""
    if label_values in known or len(known) < MAX_SERIES:
        return label_values
    return (OTHER,) * len(label_values)
