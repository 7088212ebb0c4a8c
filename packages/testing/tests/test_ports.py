"""Tests of the ports that processes hand out to what they start."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from mulberrybay_testing.ports import BLOCK_SIZE, PortBlocks, read_ephemeral_low

_PROCESS_COUNT = 3
# More than one block, and more than the distance of two processes' first ones.
_PORT_COUNT = BLOCK_SIZE + 20
_HAND_OUT = f"""
import sys
from mulberrybay_testing.ports import free_port

print(*(free_port() for _ in range({_PORT_COUNT})), flush=True)
sys.stdin.read()
"""


def test_processes_at_once_hand_out_disjoint_ports() -> None:
    running = [
        subprocess.Popen(
            [sys.executable, "-c", _HAND_OUT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_PROCESS_COUNT)
    ]
    # No process ends before each has handed out its ports.
    lines = [item.stdout.readline() for item in running if item.stdout]
    for process in running:
        process.communicate("")
    ports = [int(port) for line in lines for port in line.split()]
    assert len(ports) == _PROCESS_COUNT * _PORT_COUNT
    assert len(set(ports)) == len(ports)
    assert max(ports) < read_ephemeral_low()


def test_port_that_is_bound_but_not_listening_is_not_free() -> None:
    with PortBlocks() as blocks, socket.socket() as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken = blocks.free_port() + 1
        bound.bind(("127.0.0.1", taken))
        assert blocks.free_port() > taken


def test_block_is_free_again_once_its_owner_ends() -> None:
    with PortBlocks() as outer:
        # Ports that no other process hands out, so that the test may.
        first = outer.free_port()
        span = (first, first + BLOCK_SIZE)
        with PortBlocks(*span) as owner, PortBlocks(*span) as other:
            port = owner.free_port()
            with pytest.raises(OSError, match="no free block of ports"):
                other.free_port()
        with PortBlocks(*span) as other:
            assert other.free_port() == port


def test_ephemeral_ports_begin_where_the_system_says(tmp_path: Path) -> None:
    path = tmp_path / "ip_local_port_range"
    path.write_text("40000\t60999\n", encoding="utf-8")
    assert read_ephemeral_low(path) == 40000
    # Without the file, or with no room below the range, the usual default.
    assert read_ephemeral_low(tmp_path / "absent") == 32768
    path.write_text("1024\t65535\n", encoding="utf-8")
    assert read_ephemeral_low(path) == 32768
