from __future__ import annotations

import io
import json
import logging
import threading
import time
import unittest
from unittest import mock

from geraniumbend import logs, timers  # noqa: F401 (declares event 100)
from geraniumbend._logs import LOGGER, LineWriter


class SlowStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait()
        return super().write(text)


class FullStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.is_full = True
        self.refused = threading.Event()

    def write(self, text):
        if self.is_full:
            self.refused.set()
            raise OSError(28, "No space left on device")
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

    # A log file on a disk that was full once stayed silent until a restart.
    def test_lines_are_written_again_after_a_full_disk(self):
        stream = FullStream()
        reported = []
        writer = LineWriter(stream, on_dropped=reported.append)
        writer.write("lost")
        self.assertTrue(stream.refused.wait(5.0))
        stream.is_full = False
        writer.write("kept")
        writer.close()
        self.assertEqual(stream.getvalue(), "kept\n")
        self.assertEqual(reported, [1])

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
