from __future__ import annotations

import socket
import unittest

from geraniumbend.adapters._sockets import SILENCE_LIMIT_S, limit_silence


class SocketsTest(unittest.TestCase):
    # TCP_USER_TIMEOUT decides when keep-alive probes give up, whatever their count, so
    # probes that would end earlier or later state another time than the true one.
    def test_probes_and_unacknowledged_bytes_give_up_at_the_same_time(self):
        with socket.socket() as created:
            limit_silence(created)

            def read(option):
                return created.getsockopt(socket.IPPROTO_TCP, option)

            self.assertTrue(created.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
            self.assertEqual(read(socket.TCP_USER_TIMEOUT), SILENCE_LIMIT_S * 1000)
            probes_s = read(socket.TCP_KEEPINTVL) * read(socket.TCP_KEEPCNT)
            self.assertEqual(read(socket.TCP_KEEPIDLE) + probes_s, SILENCE_LIMIT_S)
