from __future__ import annotations

import asyncio
import errno
import os
import socket
import unittest
from unittest import mock

from bench._cluster import reserve_port

from geraniumbend.adapters import _ports
from geraniumbend.adapters._ports import (
    PORT_WAIT_S,
    open_datagram_socket,
    open_listener,
)
from geraniumbend.errors import (
    AddressMissingError,
    ListenError,
    PortDeniedError,
    PortTakenError,
)
from geraniumbend.timers import ManualTimers

HOST = "127.0.0.1"
# An address of a network for documentation, which no host has.
MISSING_HOST = "192.0.2.1"


def hold_by_listener(port):
    return [socket.create_server((HOST, port))]


def hold_by_connection(port):
    server = socket.create_server((HOST, 0))
    connected = socket.socket()
    connected.bind((HOST, port))
    connected.connect(server.getsockname())
    return [connected, server]


def hold_by_datagrams(port):
    holder = socket.socket(type=socket.SOCK_DGRAM)
    holder.bind((HOST, port))
    return [holder]


class PortsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.logged = []
        patch = mock.patch.object(_ports, "log_event", self.record)
        patch.start()
        self.addCleanup(patch.stop)

    def record(self, number, **fields):
        self.logged.append((number, fields))

    def open(self, create, host, port):
        task = asyncio.ensure_future(create(host, port, timers=self.timers))
        self.addCleanup(task.cancel)
        return task

    async def check_wait(self, create, hold):
        port = reserve_port()
        holders = hold(port)
        opening = self.open(create, HOST, port)
        await self.timers.advance(3)
        self.assertFalse(opening.done())
        for holder in holders:
            # A reset frees the port at once; a closed connection keeps it for a minute.
            if holder.type == socket.SOCK_STREAM:
                linger = b"\1\0\0\0\0\0\0\0"
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            holder.close()
        await self.timers.advance(1)
        opened = await opening
        self.assertEqual(opened.getsockname(), (HOST, port))
        opened.close()
        self.assertEqual([number for number, _ in self.logged], [140, 140, 141])
        self.assertIn(str(port), self.logged[0][1]["address"])
        self.assertIn(f":{port}", self.logged[0][1]["remedy"])
        self.assertEqual(self.logged[0][1]["waited_s"], 0)
        self.logged.clear()

    # A port that was taken at a restart ended the process, at each restart again.
    async def test_taken_port_is_opened_once_it_is_free(self):
        await self.check_wait(open_listener, hold_by_listener)
        await self.check_wait(open_listener, hold_by_connection)
        await self.check_wait(open_datagram_socket, hold_by_datagrams)

    async def test_port_that_stays_taken_ends_the_wait_with_an_error(self):
        port = reserve_port()
        (holder,) = hold_by_listener(port)
        self.addCleanup(holder.close)
        opening = self.open(open_listener, HOST, port)
        await self.timers.advance(PORT_WAIT_S - 1)
        self.assertFalse(opening.done())
        await self.timers.advance(2)
        with self.assertRaises(PortTakenError) as raised:
            await opening
        self.assertEqual(raised.exception.exit_code, os.EX_UNAVAILABLE)
        waited = [fields["waited_s"] for _, fields in self.logged]
        self.assertEqual(
            [round(waited_s) for waited_s in waited], [0, 2, 6, 14, 30, 62]
        )

    async def test_address_that_the_host_lacks_is_waited_for(self):
        for create in (open_listener, open_datagram_socket):
            opening = self.open(create, MISSING_HOST, 0)
            await self.timers.advance(PORT_WAIT_S - 1)
            self.assertFalse(opening.done())
            await self.timers.advance(2)
            with self.assertRaises(AddressMissingError):
                await opening

    async def test_denied_port_is_refused_at_once(self):
        denial = PermissionError(13, "Permission denied")
        with mock.patch.object(socket.socket, "bind", side_effect=denial):
            opening = self.open(open_listener, HOST, 80)
            await self.timers.advance(0)
        with self.assertRaises(PortDeniedError) as raised:
            await opening
        self.assertEqual(raised.exception.exit_code, os.EX_NOPERM)
        self.assertEqual(self.logged, [])

    async def test_lack_of_descriptors_names_the_limits(self):
        failure = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(socket.socket, "listen", side_effect=failure):
            opening = self.open(open_listener, HOST, reserve_port())
            await self.timers.advance(0)
        with self.assertRaises(ListenError) as raised:
            await opening
        self.assertEqual(raised.exception.exit_code, os.EX_OSERR)
        self.assertIn("limits", raised.exception.remedy)
