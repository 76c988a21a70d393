from __future__ import annotations

import asyncio
import json
import signal
import socket
import unittest

from bench._cluster import Cluster, reserve_port

# Enough for a start on a busy machine.
EVENT_TIMEOUT_S = 30
HOST = "127.0.0.1"


class TakenPortsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.holders = {}
        self.addCleanup(self.release_all)

    def hold(self, protocol, port):
        if protocol == "tcp":
            holder = socket.create_server((HOST, port))
        else:
            holder = socket.socket(type=socket.SOCK_DGRAM)
            holder.bind((HOST, port))
        self.holders[f"{protocol} {HOST}:{port}"] = holder
        return f"{protocol} {HOST}:{port}"

    def release_all(self):
        for holder in self.holders.values():
            holder.close()

    def read_lines(self, path):
        texts = path.read_text().splitlines()
        return [json.loads(text) for text in texts if text.startswith("{")]

    async def wait_for_event(self, process, number, field, value):
        path = process.folder / f"{process.name}.log"
        for _ in range(EVENT_TIMEOUT_S * 20):
            for line in self.read_lines(path):
                if line["event"] == number and line.get(field) == value:
                    return line
            self.assertIsNone(process.running.returncode, path.read_text())
            await asyncio.sleep(0.05)
        self.fail(f"no event {number} with {field} {value}:\n{path.read_text()}")

    async def release(self, process, address):
        await self.wait_for_event(process, 140, "address", address)
        self.holders[address].close()
        await self.wait_for_event(process, 141, "address", address)

    async def start_cluster(self):
        cluster = Cluster(
            gateways=1,
            controls=1,
            gateway_settings={"forward_port": reserve_port()},
            control_settings={"metrics": {"port": reserve_port()}},
        )
        self.addAsyncCleanup(cluster.stop)
        return cluster

    # A control host whose port was taken ended, at each restart again.
    async def test_control_host_waits_for_each_of_its_ports(self):
        cluster = await self.start_cluster()
        control = cluster.controls[0]
        peer = control.settings["peer"]["listen"]["port"]
        settings = control.settings["control"]
        required = [
            self.hold("tcp", peer),
            self.hold("udp", peer),
            self.hold("tcp", settings["operators"]["port"]),
        ]
        metrics = self.hold("tcp", settings["metrics"]["port"])
        await control.start()
        for address in required:
            await self.release(control, address)
        await self.wait_for_event(control, 900, "role", "control")
        await self.release(control, metrics)
        self.assertEqual(await control.stop(), 0)

    # A gateway whose port was taken ended, or was never ready.
    async def test_gateway_waits_for_each_of_its_ports(self):
        cluster = await self.start_cluster()
        gateway = cluster.gateways[0]
        peer = gateway.settings["peer"]["listen"]["port"]
        settings = gateway.settings["gateway"]
        required = [
            self.hold("tcp", settings["announce"]["port"]),
            self.hold("tcp", peer),
            self.hold("udp", peer),
            self.hold("tcp", settings["caller"]["port"]),
        ]
        forward = self.hold("tcp", settings["forward_port"])
        await asyncio.gather(*(p.start() for p in cluster.controls + cluster.gateways))
        for address in required:
            await self.release(gateway, address)
        await self.wait_for_event(gateway, 930, "stage", "ready")
        await self.release(gateway, forward)
        self.assertEqual(await gateway.stop(), 0)

    # A gateway whose port was taken when its configuration came was never ready.
    async def test_gateway_is_ready_after_its_ports_were_taken_late(self):
        cluster = await self.start_cluster()
        control, gateway = cluster.controls[0], cluster.gateways[0]
        settings = gateway.settings["gateway"]
        caller = self.hold("tcp", settings["caller"]["port"])
        forward = self.hold("tcp", settings["forward_port"])
        await gateway.start()
        await self.wait_for_event(gateway, 900, "role", "gateway")
        await control.start()
        await self.release(gateway, caller)
        await self.wait_for_event(gateway, 930, "stage", "ready")
        await self.release(gateway, forward)

    async def test_sigterm_ends_a_wait_for_a_port_with_code_zero(self):
        cluster = await self.start_cluster()
        for process in cluster.controls + cluster.gateways:
            for protocol in ("tcp", "udp"):
                port = process.settings["peer"]["listen"]["port"]
                address = self.hold(protocol, port)
                await process.start()
                await self.wait_for_event(process, 140, "address", address)
                process.signal(signal.SIGTERM)
                code = await asyncio.wait_for(process.running.wait(), EVENT_TIMEOUT_S)
                self.assertEqual(code, 0)
                lines = self.read_lines(process.folder / f"{process.name}.log")
                self.assertEqual(lines[-1]["event"], 902)
                self.holders[address].close()
