"""Client of the operators' API for experiments."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any, NamedTuple

import aiohttp

from geraniumbend.errors import UnavailableError

ATTEMPT_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.1
FIND_LEADER_TIMEOUT_S = 10.0


class AcceptedChange(NamedTuple):
    """A configuration change that the operators' API has acknowledged.

    Parameters
    ----------
    revision : int
        Revision that the change made.
    change_id : str
        Id of the change.
    at_s : float
        Event-loop time when the response arrived, in seconds.
    """

    revision: int
    change_id: str
    at_s: float


class Operator:
    """Client of the operators' API that tries the control hosts in turn.

    Parameters
    ----------
    addresses : list of str
        Base URLs of the operators' API.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = list(addresses)
        self.revision = 0
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def apply(
        self, operations: list[dict[str, Any]], timeout_s: float = 20.0
    ) -> AcceptedChange:
        """Apply a change; retry it with the same change id until it is acknowledged.

        Parameters
        ----------
        operations : list of dict
            Operations in their JSON form.
        timeout_s : float, default=20.0
            Timeout for all attempts together, in seconds.

        Returns
        -------
        AcceptedChange
            The acknowledged change.

        Raises
        ------
        UnavailableError
            If no control host accepts the change in time.
        """
        change_id = str(uuid.uuid4())
        body = {
            "operations": operations,
            "expected_revision": self.revision,
            "change_id": change_id,
        }
        response = await self._request("POST", "/v1/configuration", body, timeout_s)
        self.revision = response["revision"]
        return AcceptedChange(
            response["revision"], change_id, asyncio.get_running_loop().time()
        )

    async def get(self, path: str, timeout_s: float = 20.0) -> Any:
        """Return the JSON of a path from the first control host that responds."""
        return await self._request("GET", path, None, timeout_s)

    async def find_leader(self, log: str = "config") -> int:
        """Return the index of the control host that leads a log.

        Raises
        ------
        UnavailableError
            If no control host reports to be the leader within 10 s.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FIND_LEADER_TIMEOUT_S
        while loop.time() < deadline:
            for number, address in enumerate(self.addresses):
                try:
                    async with self._session.get(address + "/v1/state") as response:
                        state = await response.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
                for entry in state["logs"]:
                    if entry["shard"] == log and entry["role"] == "leader":
                        return number
            await asyncio.sleep(RETRY_DELAY_S)
        raise UnavailableError(f"log {log} has no leader", "wait for the election")

    async def _request(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        last_error = ""
        while loop.time() < deadline:
            for address in self.addresses:
                try:
                    async with self._session.request(
                        method, address + path, json=body
                    ) as response:
                        content = await response.json(content_type=None)
                except (aiohttp.ClientError, TimeoutError) as error:
                    last_error = repr(error)
                    continue
                if response.status == 200:
                    return content
                last_error = str(content)
            await asyncio.sleep(RETRY_DELAY_S)
        raise UnavailableError(
            f"{method} {path} failed: {last_error}", "see the logs of the control hosts"
        )
