"""Runs the programs of this package until a signal terminates them."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AbstractAsyncContextManager


def run_until_terminated(
    service: AbstractAsyncContextManager[object], ready_line: str
) -> None:
    """Runs a service until SIGTERM or SIGINT.

    Args:
      service: the service; it listens once its context is entered.
      ready_line: the line to print when the service listens.
    """
    asyncio.run(_run(service, ready_line))


async def _run(
    service: AbstractAsyncContextManager[object], ready_line: str
) -> None:
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    async with service:
        print(ready_line, flush=True)
        await terminated.wait()
