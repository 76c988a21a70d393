from __future__ import annotations

import http.server
import threading
import time
import unittest
from unittest import mock

from geraniumbend.cli import _client
from geraniumbend.errors import UnavailableError

UNAVAILABLE = (503, b'{"title": "no leader", "remedy": "try again"}')


class FakeApi(http.server.BaseHTTPRequestHandler):
    """Control host that sends the prepared responses, the last one for ever."""

    def do_DELETE(self):
        responses = self.server.responses
        status, body = responses.pop(0) if len(responses) > 1 else responses[0]
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *unused):
        pass


class ElectionTest(unittest.TestCase):
    """Guards against a command that fails since the hosts are electing a leader."""

    def start_host(self, *responses):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), FakeApi)
        server.responses = list(responses)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"http://127.0.0.1:{server.server_port}"

    def test_command_waits_for_the_leader_that_is_being_elected(self):
        electing = self.start_host(UNAVAILABLE, UNAVAILABLE, (200, b'{"done": true}'))
        api = f"{electing},http://127.0.0.1:1"
        response = _client.request("DELETE", "/v1/members/x", api)
        self.assertEqual(response, {"done": True})

    def test_hosts_without_a_leader_end_the_command_after_the_wait(self):
        api = self.start_host(UNAVAILABLE)
        with (
            mock.patch.object(_client, "ELECTION_WAIT_S", 0.3),
            self.assertRaisesRegex(UnavailableError, "no leader"),
        ):
            _client.request("DELETE", "/v1/members/x", api)

    def test_command_does_not_wait_for_hosts_that_refuse_connections(self):
        started = time.monotonic()
        with self.assertRaises(UnavailableError):
            _client.request("DELETE", "/v1/members/x", "http://127.0.0.1:1")
        self.assertLess(time.monotonic() - started, _client.ELECTION_WAIT_S)
