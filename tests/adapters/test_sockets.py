from __future__ import annotations

import socket
import time
import unittest

from geraniumbend.adapters._sockets import (
    SILENCE_LIMIT_S,
    count_unacknowledged,
    limit_silence,
)


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

    # Without the count, a close that cuts off a response looks like any other.
    def test_bytes_that_the_peer_has_not_acknowledged_are_counted(self):
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with socket.create_connection(listening.getsockname()) as sending:
                receiving, _ = listening.accept()
                with receiving:
                    sending.setblocking(False)
                    sent = sending.send(bytes(200_000))
                    self.assertGreater(count_unacknowledged(sending.fileno()), 0)
                    while sent:
                        sent -= len(receiving.recv(65_536))
                    while count_unacknowledged(sending.fileno()):
                        time.sleep(0.001)
