"""Fault settings of the backend server stand-in, and corrupted replies."""

from __future__ import annotations

import asyncio
import random
from typing import Literal, TypedDict

from mulberrybay_testing.http_server import Delivery, Response

ReplyFault = Literal["swap", "duplicate", "cut_short", "wrong_shard", "empty"]

# How long a reply waits for another one to be swapped with.
_SWAP_TIMEOUT_S = 0.2


class ServerSettings(TypedDict, total=False):
    """Settings of a server in a control document; absent keys are unchanged.

    A connection that was made silent stays silent: setting `silent` to false
    has no effect, and setting `silent_new` to false affects only connections
    that are opened later.
    """

    leaving: bool
    cold: bool
    index_versions: list[int]
    slow_factor: float
    silent: bool
    silent_new: bool
    down: bool
    refuse_shed: bool
    health_says: Literal["live", "leaving"] | None
    load_says: float | None
    reply_fault: ReplyFault | None
    reply_fault_probability: float


class ReplyFaults:
    """Corrupts replies of one server with the given probability."""

    def __init__(self, seed: int) -> None:
        self.fault: ReplyFault | None = None
        self.probability = 1.0
        self._random = random.Random(seed)
        self._swap_waiter: _SwapWaiter | None = None

    async def apply(self, response: Response) -> Response:
        """Returns the response to send instead of the given one."""
        if self.fault is None or self._random.random() >= self.probability:
            return response
        match self.fault:
            case "duplicate":
                return response._replace(delivery=Delivery.TWICE)
            case "cut_short":
                return response._replace(delivery=Delivery.CUT_SHORT)
            case "wrong_shard":
                return _with_different_shard(response)
            case "empty":
                return response._replace(body=b'{"hits": []}')
            case "swap":
                return await self._swap(response)

    async def _swap(self, response: Response) -> Response:
        other = self._swap_waiter
        if other is not None and not other.received.done():
            self._swap_waiter = None
            other.received.set_result(response)
            return other.offered
        waiter = _SwapWaiter(response)
        self._swap_waiter = waiter
        try:
            async with asyncio.timeout(_SWAP_TIMEOUT_S):
                return await waiter.received
        except TimeoutError:
            return response
        finally:
            if self._swap_waiter is waiter:
                self._swap_waiter = None


class _SwapWaiter:
    """A response that waits to be swapped with another one."""

    def __init__(self, offered: Response) -> None:
        self.offered = offered
        self.received: asyncio.Future[Response] = (
            asyncio.get_running_loop().create_future()
        )


def _with_different_shard(response: Response) -> Response:
    headers = tuple(
        (name, _different_shard(value) if name == "X-Shard" else value)
        for name, value in response.headers
    )
    return response._replace(headers=headers)


def _different_shard(shard: str) -> str:
    return str(int(shard) + 1) if shard.isdecimal() else shard + "x"
