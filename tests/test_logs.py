from __future__ import annotations

import io
import json
import logging
import threading
import time
import unittest
from unittest import mock

from geraniumbend import logs
from geraniumbend._logs import LOGGER, LineWriter


class SlowStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait()
        return super().write(text)


class LineWriterTest(unittest.TestCase):
    def test_slow_reader_blocks_no_writer_and_dropped_lines_are_counted(self):
        stream = SlowStream()
        reported = []
        writer = LineWriter(stream, 100, reported.append)
        started = time.monotonic()
        for number in range(10_000):
            writer.write(f"line {number}")
        self.assertLess(time.monotonic() - started, 2.0)
        dropped = writer.dropped
        self.assertGreater(dropped, 9_000)
        stream.unblocked.set()
        writer.close()
        lines = stream.getvalue().splitlines()
        self.assertEqual(reported, [dropped])
        self.assertIn("line 0", lines)

    def test_closed_stream_stops_logging_without_an_exception(self):
        stream = io.StringIO()
        writer = LineWriter(stream)
        stream.close()
        writer.write("x")
        writer.close()

    def test_lines_go_to_standard_output_with_time_node_and_number(self):
        with mock.patch("sys.stdout", new=io.StringIO()) as output:
            before = LOGGER.handlers, LOGGER.level, LOGGER.propagate
            try:
                logs.configure_logs("n1")
                logs.log_event(100, callback="x", error="e")
                LOGGER.handlers[0].close()
            finally:
                LOGGER.handlers, level, LOGGER.propagate = before
                LOGGER.setLevel(level or logging.NOTSET)
        line = json.loads(output.getvalue())
        self.assertEqual((line["node"], line["event"]), ("n1", 100))
        self.assertRegex(line["time"], r"\.\d{3}$")
