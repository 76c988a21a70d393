from __future__ import annotations

import asyncio
import uuid
from typing import Any, NamedTuple

import aiohttp

from geraniumbend.errors import UnavailableError

ATTEMPT_TIMEOUT_S = 8.0
RETRY_S = 0.1
FIND_LEADER_S = 10.0


class Accepted(NamedTuple):
    """A change that the operators' API has acknowledged.

    Parameters
    ----------
    revision : int
        Revision that the change made.
    change_id : str
        Id of the change.
    at_s : float
        Clock of the event loop when the answer arrived.
    """

    revision: int
    change_id: str
    at_s: float


class Operator:
    """Changes the configuration through any control host, like an operator's tool.

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
        self, operations: list[dict[str, Any]], limit_s: float = 20.0
    ) -> Accepted:
        """Apply a change and resend it by its id until it is answered.

        Parameters
        ----------
        operations : list of dict
            Operations in their JSON form.
        limit_s : float, default=20.0
            Time for all attempts, in seconds.

        Returns
        -------
        Accepted
            The change.

        Raises
        ------
        UnavailableError
            If no control host accepted it in time.
        """
        change_id = str(uuid.uuid4())
        body = {
            "operations": operations,
            "expected_revision": self.revision,
            "change_id": change_id,
        }
        answer = await self._ask("POST", "/v1/configuration", body, limit_s)
        self.revision = answer["revision"]
        return Accepted(
            answer["revision"], change_id, asyncio.get_running_loop().time()
        )

    async def get(self, path: str, limit_s: float = 20.0) -> Any:
        """Return the JSON of a path, from the first control host that answers."""
        return await self._ask("GET", path, None, limit_s)

    async def find_leader(self, log: str = "config") -> int:
        """Return the number of the control host that leads a log.

        Raises
        ------
        UnavailableError
            If none does within 10 s.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FIND_LEADER_S
        while loop.time() < deadline:
            for number, address in enumerate(self.addresses):
                try:
                    async with self._session.get(address + "/v1/state") as answer:
                        state = await answer.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
                for entry in state["logs"]:
                    if entry["shard"] == log and entry["role"] == "leader":
                        return number
            await asyncio.sleep(RETRY_S)
        raise UnavailableError(f"log {log} has no leader", "wait for the election")

    async def _ask(self, method: str, path: str, body: Any, limit_s: float) -> Any:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        problem = ""
        while loop.time() < deadline:
            for address in self.addresses:
                try:
                    async with self._session.request(
                        method, address + path, json=body
                    ) as answer:
                        content = await answer.json(content_type=None)
                except (aiohttp.ClientError, TimeoutError) as error:
                    problem = repr(error)
                    continue
                if answer.status == 200:
                    return content
                problem = str(content)
            await asyncio.sleep(RETRY_S)
        raise UnavailableError(f"{method} {path} failed: {problem}", "look at the logs")
