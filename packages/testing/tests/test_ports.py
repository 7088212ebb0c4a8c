"""Tests of the allocation of loopback ports for test processes."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from mulberrybay_testing.ports import (
    BLOCK_SIZE,
    PortBlocks,
    read_lowest_ephemeral_port,
)

_PROCESS_COUNT = 3
# More than one block, because the first blocks of processes with consecutive
# ids are adjacent: without reservations they would allocate the same ports.
_PORT_COUNT = BLOCK_SIZE + 20
_ALLOCATE_SCRIPT = f"""
import sys
from mulberrybay_testing.ports import free_port

print(*(free_port() for _ in range({_PORT_COUNT})), flush=True)
sys.stdin.read()
"""


def test_concurrent_processes_allocate_disjoint_ports() -> None:
    """Guards against a port that two processes allocate at the same time.

    It also guards against ports in the ephemeral range, which outgoing
    connections of other programs could occupy.
    """
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", _ALLOCATE_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_PROCESS_COUNT)
    ]
    # Every process still runs, and so reserves its blocks, until all have
    # allocated their ports.
    lines = [item.stdout.readline() for item in processes if item.stdout]
    for process in processes:
        process.communicate("")
    ports = [int(port) for line in lines for port in line.split()]
    assert len(ports) == _PROCESS_COUNT * _PORT_COUNT
    assert len(set(ports)) == len(ports)
    assert max(ports) < read_lowest_ephemeral_port()


def test_bound_port_that_is_not_listening_is_not_free() -> None:
    """Guards against a check that only finds listening sockets.

    A process may have bound its port with SO_REUSEADDR and not listen yet.
    """
    with PortBlocks() as blocks, socket.socket() as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_port = blocks.free_port() + 1
        bound.bind(("127.0.0.1", bound_port))
        assert blocks.free_port() > bound_port


def test_block_is_released_when_its_owner_closes() -> None:
    """Guards against a block that two owners reserve at the same time.

    It also guards against a block that stays reserved after its owner closed:
    test runs would exhaust the blocks.
    """
    with PortBlocks() as outer:
        # A block that this process reserves, so no other process allocates
        # its ports.
        first = outer.free_port()
        span = (first, first + BLOCK_SIZE)
        with PortBlocks(*span) as owner, PortBlocks(*span) as other:
            port = owner.free_port()
            with pytest.raises(OSError, match="no free block of ports"):
                other.free_port()
        with PortBlocks(*span) as other:
            assert other.free_port() == port


def test_lowest_ephemeral_port_is_read_from_the_system(tmp_path: Path) -> None:
    """Guards against allocated ports that lie in the ephemeral range.

    An outgoing connection could occupy such a port before it is used.
    """
    path = tmp_path / "ip_local_port_range"
    path.write_text("40000\t60999\n", encoding="utf-8")
    assert read_lowest_ephemeral_port(path) == 40000
    # The default applies without the file and if the range begins too low.
    assert read_lowest_ephemeral_port(tmp_path / "absent") == 32768
    path.write_text("1024\t65535\n", encoding="utf-8")
    assert read_lowest_ephemeral_port(path) == 32768
