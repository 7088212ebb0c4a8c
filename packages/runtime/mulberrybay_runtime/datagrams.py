"""A UDP socket on the circuits poller."""

import socket
from collections.abc import Callable
from typing import Final, Self

from circuits import BaseComponent, handler

from mulberrybay_core.addresses import Address
from mulberrybay_runtime.streams import StreamPoller

# The largest payload of a UDP datagram over IPv4.
MAX_DATAGRAM_BYTES: Final = 65_507


class Datagrams(BaseComponent):
    """Sends and receives datagrams on one UDP socket.

    Attributes:
        unsent_count: Datagrams that the socket did not accept.
    """

    channel = "datagrams"

    def __init__(self, poller: StreamPoller) -> None:
        super().__init__()
        self._poller = poller
        self._on_datagram: Callable[[bytes, Address], None] | None = None
        self._socket: socket.socket | None = None
        self.unsent_count = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        if self._socket is not None:
            self._poller.discard(self._socket)
            self._socket.close()
            self._socket = None

    def listen(
        self, address: Address, on_datagram: Callable[[bytes, Address], None]
    ) -> None:
        """Opens the socket; `on_datagram` gets each datagram and its sender.

        Raises:
            OSError: The address is in use or is not an address of this VM.
        """
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._poller.addReader(self, self._socket)

    def send(self, data: bytes, peer: Address) -> None:
        """Sends a datagram; counts it if the socket does not accept it."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, peer)
        except OSError:
            self.unsent_count += 1

    @handler("_read", priority=1)
    def _on_readable(self, connection: socket.socket) -> None:
        if connection is not self._socket or self._on_datagram is None:
            return
        while True:
            try:
                data, peer = connection.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(data, Address(*peer[:2]))
