"""Allocates free loopback ports for tests, without conflicts between processes.

Each process that allocates ports reserves whole blocks: it listens on the first
port of a block until it exits. All ports are below the ephemeral range, so no
outgoing connection can occupy a port between the check and its use.
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
EPHEMERAL_RANGE_PATH: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_LOWEST_EPHEMERAL_PORT: Final = 32768
MIN_BLOCK_COUNT: Final = 20


def read_lowest_ephemeral_port(path: Path = EPHEMERAL_RANGE_PATH) -> int:
    """Returns the lowest port that the system assigns to outgoing connections.

    This is the usual default of Linux if the file can't be read, or if the
    range in the file leaves too few ports below it.
    """
    try:
        lowest_port = int(path.read_text(encoding="utf-8").split()[0])
    except OSError:
        return DEFAULT_LOWEST_EPHEMERAL_PORT
    if lowest_port < FIRST_PORT + MIN_BLOCK_COUNT * BLOCK_SIZE:
        return DEFAULT_LOWEST_EPHEMERAL_PORT
    return lowest_port


class PortBlocks:
    """Allocates ports from blocks reserved for one process.

    The blocks are released when the context is left.
    """

    def __init__(
        self, first_port: int = FIRST_PORT, end_port: int | None = None
    ) -> None:
        """Sets the range of ports; blocks are reserved when they are needed.

        Args:
            first_port: The lowest port.
            end_port: The port after the highest; by default the lowest
                ephemeral port.
        """
        end_port = end_port or read_lowest_ephemeral_port()
        self._starts = range(first_port, end_port - BLOCK_SIZE + 1, BLOCK_SIZE)
        self._reservations = ExitStack()
        self._ports = iter(range(0))

    def __enter__(self) -> PortBlocks:
        """Returns this allocator."""
        return self

    def __exit__(self, *_: object) -> None:
        """Releases all reserved blocks."""
        self._reservations.close()

    def free_port(self) -> int:
        """Returns a free port that this object has not returned before.

        Raises:
            OSError: All blocks are reserved.
        """
        while True:
            for port in self._ports:
                if is_free(port):
                    return port
            self._ports = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        """Reserves a block; returns its ports except the one listened on."""
        count = len(self._starts)
        for turn in range(count):
            # The search begins at a block that depends on the process id, so
            # a block just released is not reserved again immediately.
            start = self._starts[(os.getpid() + turn) % count]
            reservation = socket.socket()
            try:
                # Without SO_REUSEADDR, because a second bind must fail.
                reservation.bind((HOST, start))
                reservation.listen()
            except OSError:
                reservation.close()
                continue
            self._reservations.enter_context(reservation)
            return range(start + 1, start + BLOCK_SIZE)
        raise OSError("no free block of ports on loopback")


def is_free(port: int) -> bool:
    """Returns whether no socket is bound to a loopback port."""
    # Without SO_REUSEADDR, which would make a port look free if a socket is
    # bound to it but not listening.
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


@functools.cache
def _get_blocks(process_id: int) -> PortBlocks:
    # Cached by process id, so that a forked child reserves its own blocks.
    del process_id
    return PortBlocks()


def free_port() -> int:
    """Returns a free loopback port that no other process allocates.

    Raises:
        OSError: All blocks of ports are reserved.
    """
    return _get_blocks(os.getpid()).free_port()
