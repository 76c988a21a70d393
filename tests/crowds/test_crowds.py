"""Crowds of callers outside the limits against real processes.

Crowds and bounds are those of the table in docs/design/caller-limits.md.
"""

from __future__ import annotations

from tests.crowds import _callers as callers
from tests.crowds._case import CrowdCase


class CrowdTest(CrowdCase):
    async def check_crowd(self, count, build, pause_s=0.0):
        targets = self.list_gateway_targets() + self.list_control_targets()
        await self.crowd.gather(targets, count, build, pause_s)
        await self.check()

    async def test_bodies_in_one_piece_that_stop_before_their_end(self):
        await self.check_crowd(60, callers.send_whole_body)

    async def test_bodies_in_small_pieces_that_stop_before_their_end(self):
        await self.check_crowd(60, callers.send_small_pieces)

    async def test_bodies_in_small_chunks_that_stop_before_their_end(self):
        await self.check_crowd(40, callers.send_small_chunks)

    async def test_bodies_far_over_the_limit(self):
        await self.check_crowd(30, callers.send_long_body)

    async def test_chunked_bodies_without_end(self):
        await self.check_crowd(30, callers.send_long_chunked_body)

    async def test_heads_of_very_many_fields(self):
        await self.check_crowd(60, callers.send_many_fields)

    async def test_pipelined_requests_whose_responses_are_not_read(self):
        await self.check_crowd(40, callers.send_pipelined)

    async def test_long_responses_that_are_not_read(self):
        targets = [(self.hosts.front, b"/r/x")]
        await self.crowd.gather(targets, 200, lambda path: [build_get(path)])
        await self.check()

    async def test_heads_that_come_slowly(self):
        await self.check_crowd(100, callers.send_slowly, 0.1)

    async def test_connections_that_send_nothing(self):
        await self.check_crowd(100, callers.send_nothing)

    async def test_callers_that_stop_halfway_and_leave(self):
        targets = self.list_gateway_targets() + self.list_control_targets()
        for _ in range(4):
            await self.crowd.gather(targets, 40, callers.send_small_chunks)
            self.crowd.leave()
        await self.check()

    async def test_handshakes_and_frames_at_the_ports_of_peers(self):
        hosts = self.hosts
        targets = [(hosts.gateway_peer, b""), (hosts.control_peer, b"")]
        await self.crowd.gather(targets, 100, callers.send_handshake)
        await self.crowd.gather(targets, 150, callers.send_peer_frame)
        await self.crowd.gather(targets, 300, callers.send_nothing)
        await self.check()


def build_get(path):
    return callers.write_head(b"GET", path)
