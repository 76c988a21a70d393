"""Control hosts and gateways with platform settings, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from unittest import mock

import aiohttp
from bench._cluster import reserve_port

from geraniumbend.interfaces import load_extensions
from geraniumbend.platform import read_settings
from geraniumbend.roles.control import Control
from geraniumbend.roles.gateway import Gateway

KEY_ENVIRONMENT = {"GERANIUMBEND_CLUSTER_KEY": "0123456789abcdef"}
TIMEOUT_S = 15.0


class Deployment:
    """Small deployment; host N has address 127.0.1.N, and all use the same ports."""

    def __init__(self, tolerated_losses=1):
        load_extensions()
        self.folder = tempfile.TemporaryDirectory()
        self.tolerated_losses = tolerated_losses
        self.peer_port, self.control_port = reserve_port(count=2), reserve_port()
        self.front_port, self.ready_port = reserve_port(), reserve_port()
        self.seeds = [f"127.0.1.{n}:{self.control_port}" for n in (1, 2, 3)]
        self.controls = {}
        self.gateways = {}
        self.session = None

    async def start_control(self, number, bootstrap=True):
        listen = {"control": f"127.0.1.{number}:{self.control_port}"}
        folder = f"{self.folder.name}/{number}"
        settings = self._build_settings(
            f"core-{number}", number, listen, bootstrap, folder
        )
        control = self.controls[number] = Control.from_config(settings)
        await control.start()
        return control

    async def start_gateway(self, number):
        ip = f"127.0.1.{number}"
        listen = {
            "front": f"{ip}:{self.front_port}",
            "ready": f"{ip}:{self.ready_port}",
        }
        settings = self._build_settings(f"front-{number}", number, listen, False, None)
        gateway = self.gateways[number] = Gateway.from_config(settings)
        await gateway.start()
        return gateway

    async def start(self):
        self.session = aiohttp.ClientSession()
        await asyncio.gather(*(self.start_control(number) for number in (1, 2, 3)))

    async def stop(self):
        processes = [*self.gateways.values(), *self.controls.values()]
        await asyncio.gather(*(process.stop() for process in processes))
        await self.session.close()
        self.folder.cleanup()

    async def call(self, method, host, port, path, body=None, headers=None):
        url = f"http://127.0.1.{host}:{port}{path}"
        async with self.session.request(
            method, url, data=body, headers=headers
        ) as response:
            return response.status, await response.read(), response.headers

    async def call_control(self, method, path, body=None, host=1):
        data = None if body is None else json.dumps(body).encode()
        status, text, _ = await self.call(method, host, self.control_port, path, data)
        return status, text

    async def send_request(self, path, host=11, **headers):
        fields = {"Host": "h.example", "Geraniumbend-Deadline-Ms": "2000", **headers}
        return await self.call("GET", host, self.front_port, path, headers=fields)

    async def wait_until(self, condition, timeout_s=TIMEOUT_S):
        async with asyncio.timeout(timeout_s):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return
                await asyncio.sleep(0.05)

    async def wait_until_configured(self, gateway):
        """Wait until a gateway is ready and has a configuration.

        It may be ready without one while none is acknowledged, and then answers 503.
        """
        view = gateway._configuration_view
        await self.wait_until(lambda: gateway.is_ready() and view.current.revision > 0)

    def _build_settings(self, name, number, listen, bootstrap, folder):
        given = {
            "node-name": name,
            "ip": f"127.0.1.{number}",
            "zone": "a",
            "listen": listen,
            "internal-ports": [self.peer_port, self.peer_port + 1],
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "data-dir": folder,
            "fault-tolerance": {"machines": self.tolerated_losses},
            "bounds": {"grace": "2s"},
        }
        with mock.patch.dict(os.environ, KEY_ENVIRONMENT):
            return read_settings(json.dumps(given))
