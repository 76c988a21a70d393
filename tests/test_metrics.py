from __future__ import annotations

import unittest

from geraniumbend._metrics import MAX_SERIES
from geraniumbend.metrics import MetricSet


class MetricSetTest(unittest.TestCase):
    def test_counter_gauge_and_histogram_are_rendered(self):
        metrics = MetricSet()
        add = metrics.declare_counter("requests_total", "Requests.", ("group",))
        observe = metrics.declare_histogram("request_seconds", "Time.", ("group",))
        metrics.declare_gauge("members", "Members.", lambda: {(): 3})
        add("g")
        add("g", amount=2)
        observe(0.03, "g")
        text = metrics.render().decode()
        self.assertIn('geraniumbend_requests_total{group="g"} 3', text)
        self.assertIn("geraniumbend_members 3", text)
        self.assertIn('geraniumbend_request_seconds_count{group="g"} 1', text)
        self.assertIn('request_seconds_bucket{group="g",le="0.02"} 0', text)

    def test_second_render_counts_nothing_twice(self):
        metrics = MetricSet()
        metrics.declare_counter("requests_total", "Requests.")()
        metrics.declare_histogram("request_seconds", "Time.")(0.01)
        self.assertEqual(metrics.render(), metrics.render())

    def test_label_values_beyond_the_limit_share_one_series(self):
        metrics = MetricSet()
        add = metrics.declare_counter("requests_total", "Requests.", ("path",))
        for number in range(MAX_SERIES + 50):
            add(f"/{number}")
        text = metrics.render().decode()
        self.assertIn('path="other"} 50', text)
        self.assertEqual(text.count("geraniumbend_requests_total{"), MAX_SERIES + 1)
