"""Hands out loopback ports to the processes of tests, disjoint per process.

Each process that hands out ports reserves blocks of them by listening on the
first port of a block until it ends. Ports lie below the ephemeral range, so
no outgoing connection takes one between the probe and its use.
"""

from __future__ import annotations

import functools
import os
import socket
from contextlib import ExitStack
from pathlib import Path
from typing import Final

HOST: Final = "127.0.0.1"
FIRST_PORT: Final = 10000
BLOCK_SIZE: Final = 200
EPHEMERAL_RANGE: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_LOW: Final = 32768
MIN_BLOCK_COUNT: Final = 20


def read_ephemeral_low(path: Path = EPHEMERAL_RANGE) -> int:
    """Returns the lowest port that the system gives to connections.

    Without the system's file, or if its range leaves no room for blocks, this
    is the usual default.
    """
    try:
        low = int(path.read_text(encoding="utf-8").split()[0])
    except OSError:
        return DEFAULT_EPHEMERAL_LOW
    if low < FIRST_PORT + MIN_BLOCK_COUNT * BLOCK_SIZE:
        return DEFAULT_EPHEMERAL_LOW
    return low


class PortBlocks:
    """Blocks of ports that only this process hands out; a context manager."""

    def __init__(
        self, first_port: int = FIRST_PORT, end_port: int | None = None
    ) -> None:
        """Plans to reserve blocks; none is reserved before a port is needed.

        Args:
            first_port: The lowest port.
            end_port: The port after the highest; the ephemeral range's lowest
                by default.
        """
        end_port = end_port or read_ephemeral_low()
        self._starts = range(first_port, end_port - BLOCK_SIZE + 1, BLOCK_SIZE)
        self._reservations = ExitStack()
        self._ports = iter(range(0))

    def __enter__(self) -> PortBlocks:
        """Returns the blocks."""
        return self

    def __exit__(self, *_: object) -> None:
        """Gives the blocks back."""
        self._reservations.close()

    def free_port(self) -> int:
        """Returns a free port that was not handed out before.

        Raises:
            OSError: Every block is reserved.
        """
        while True:
            for port in self._ports:
                if is_free(port):
                    return port
            self._ports = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        """Reserves a block; returns its ports but for the reserving one."""
        count = len(self._starts)
        for turn in range(count):
            # Processes that start one after the other begin far apart, so a
            # block is not used again at once.
            start = self._starts[(os.getpid() + turn) % count]
            reservation = socket.socket()
            try:
                # No SO_REUSEADDR: a second bind must fail.
                reservation.bind((HOST, start))
                reservation.listen()
            except OSError:
                reservation.close()
                continue
            self._reservations.enter_context(reservation)
            return range(start + 1, start + BLOCK_SIZE)
        raise OSError("no free block of ports on loopback")


def is_free(port: int) -> bool:
    """Returns whether nothing is bound to a loopback port."""
    # With SO_REUSEADDR a port that is bound but does not listen looks free.
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


@functools.cache
def _blocks_of(process_id: int) -> PortBlocks:
    # A forked child reserves blocks of its own.
    del process_id
    return PortBlocks()


def free_port() -> int:
    """Returns a free loopback port that only this process hands out."""
    return _blocks_of(os.getpid()).free_port()
