"""TCP links between nodes.

Each node dials each peer and sends its own requests on that link; an answer
is sent on the link of its request. A link on which nothing arrives for
`READ_TIMEOUT_S` is closed and dialled again, since a connection can stop
delivering data without being closed.
"""

from typing import Final, NamedTuple, Protocol, Self

from mulberrybay_core.addresses import Address
from mulberrybay_core.callers.connection_limit import ConnectionLimit
from mulberrybay_core.callers.memory import SMALL_BYTES, HeldKind
from mulberrybay_nodes.codec import FrameError, decode_message, encode_message
from mulberrybay_nodes.frames import (
    BLOCK_BYTES,
    FrameReader,
    FrameTooLongError,
    wrap_frame,
)
from mulberrybay_nodes.peer_messages import PeerMessage
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.callers import resources as reasons
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

DIAL_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 1.2
# Peers send heartbeats on the links that they have dialled.
ACCEPTED_TIMEOUT_S: Final = 10.0
SEED_PREFIX: Final = "seed "


class PeerListener(Protocol):
    """Handles the messages and the end of links."""

    def on_peer_message(self, message: PeerMessage, link: "Link") -> None:
        """Handles a message; `link.send` sends an answer to it."""

    def on_link_closed(self, link: "Link") -> None:
        """Handles a closed link; messages sent on it may not have arrived."""


class Link:
    """One connection between two nodes.

    Attributes:
        has_delivered: Whether a message has come over it.
        stream: The connection; None if there is none.
        peer_id: The node that was dialled; empty if it has dialled this one.
        is_connected: Whether messages can be sent.
        last_received_at_s: When bytes last came.
    """

    def __init__(
        self, listener: PeerListener, peer_id: str, stream: Stream | None
    ) -> None:
        self._listener = listener
        self._reader = FrameReader()
        self.has_delivered = False
        self.stream = stream
        self.peer_id = peer_id
        self.is_connected = False
        self.last_received_at_s = read_clock_s()

    def send(self, message: PeerMessage) -> bool:
        """Sends a message; returns False if no byte went to the socket."""
        if self.stream is None or not self.is_connected:
            return False
        payload = encode_message(message, read_clock_s())
        return self.stream.send(wrap_frame(payload))

    def send_soon(self, message: PeerMessage) -> bool:
        """Sends a message together with others of this event loop iteration.

        Returns False if the link is not connected.
        """
        if self.stream is None or not self.is_connected:
            return False
        payload = encode_message(message, read_clock_s())
        return self.stream.send_soon(wrap_frame(payload))

    def on_connected(self, stream: Stream) -> None:
        """Records that the dialled connection is open."""
        del stream
        self.is_connected = True
        self.last_received_at_s = read_clock_s()

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Handles received bytes; a malformed frame closes only this link."""
        now_s = read_clock_s()
        self.last_received_at_s = now_s
        try:
            for payload in self._reader.feed(data):
                message = decode_message(payload, now_s)
                self.has_delivered = True
                self._listener.on_peer_message(message, self)
        except (FrameError, FrameTooLongError):
            stream.close()
            self.on_closed(stream, "malformed frame")

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles the end of the connection."""
        del stream, reason
        was_connected = self.is_connected
        self.is_connected = False
        self.stream = None
        if was_connected:
            self._listener.on_link_closed(self)

    def close(self, reason: str) -> None:
        """Closes the connection and notifies the listener."""
        stream = self.stream
        if stream is not None:
            stream.close()
            self.on_closed(stream, reason)


class _AcceptedLink(Link):
    """A link that was dialled by a peer, or by anyone else.

    What it makes the node hold is charged like what callers do.
    """

    def __init__(
        self,
        links: "NodeLinks",
        listener: PeerListener,
        stream: Stream,
    ) -> None:
        super().__init__(listener, "", stream)
        self.is_connected = True
        stream.read_size_bytes = BLOCK_BYTES
        self._links = links
        self._account = links.resources.memory.open(
            stream.peer.host, self._give_way, self.last_received_at_s
        )

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Handles received bytes; closes the link if memory is short."""
        super().on_data(stream, data)
        if self.stream is None:
            return
        self._links.record_received(self)
        account = self._account
        account.record_progress(len(data), self.last_received_at_s)
        held_bytes = self._reader.held_bytes
        added_bytes = held_bytes - account.held[HeldKind.INPUT]
        if not self._links.resources.memory.admit(
            account,
            added_bytes,
            self.last_received_at_s,
            is_small=held_bytes <= SMALL_BYTES,
        ):
            self._give_way()
            return
        account.hold(HeldKind.INPUT, held_bytes)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Frees what the link holds, without waiting for the collector."""
        self._reader = FrameReader()
        self._links.resources.memory.remove(self._account)
        self._links.remove_accepted(self)
        super().on_closed(stream, reason)

    def _give_way(self) -> None:
        self._links.resources.record(reasons.CLOSED_FOR_MEMORY)
        self.close("the node is short of memory")


class _DialledPeer:
    def __init__(self, address: Address, link: Link) -> None:
        self.address = address
        self.link = link
        self.backoff = Backoff()
        self.timer: Timer | None = None


class LinkCounts(NamedTuple):
    """Totals since the process started: dials and unresponsive links."""

    dial_count: int
    unresponsive_count: int


class NodeLinks:
    """The links of one node to all its peers."""

    def __init__(
        self,
        streams: Streams,
        timers: Timers,
        listener: PeerListener,
        resources: CallerResources,
    ) -> None:
        self.resources = resources
        # Only links over which no message has come give way to others.
        self._accepted: ConnectionLimit[_AcceptedLink] = ConnectionLimit(
            resources.connection_limits.peer_count
        )
        self._streams = streams
        self._timers = timers
        self._listener = listener
        self._dialled: dict[str, _DialledPeer] = {}
        self._seeds: tuple[Address, ...] = ()
        self._dial_count = 0
        self._unresponsive_count = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for peer_id in list(self._dialled):
            self._remove_peer(peer_id)

    def listen(self, address: Address) -> None:
        """Starts to accept links from peers.

        Raises:
            OSError: The address is in use or does not belong to this VM.
        """
        self._streams.listen(address, self._accept)

    def _accept(self, stream: Stream) -> Link | None:
        """Accepts a link; one that has delivered nothing gives way."""
        if self._accepted.is_full:
            unproven = self._accepted.longest_idle()
            if unproven is None:
                self.resources.record(reasons.TURNED_AWAY)
                return None
            self.resources.record(reasons.IDLE_CLOSED)
            unproven.close("too many links")
        link = _AcceptedLink(self, self._listener, stream)
        self._accepted.add(link)
        return link

    def record_received(self, link: _AcceptedLink) -> None:
        """Records that bytes came over an accepted link."""
        if link.has_delivered:
            self._accepted.record_busy(link)

    def remove_accepted(self, link: _AcceptedLink) -> None:
        """Removes an accepted link that was closed."""
        self._accepted.remove(link)

    def set_seeds(self, addresses: tuple[Address, ...]) -> None:
        """Sets the addresses to dial while no known peer has them."""
        self._seeds = addresses

    def _add_unknown_seeds(
        self, addresses: dict[str, Address]
    ) -> dict[str, Address]:
        known = set(addresses.values())
        seeds = {
            f"{SEED_PREFIX}{address}": address
            for address in self._seeds
            if address not in known
        }
        return addresses | seeds

    def seed_ids(self) -> list[str]:
        """Returns the IDs of the links to seeds."""
        return [name for name in self._dialled if name.startswith(SEED_PREFIX)]

    def connected_ids(self) -> list[str]:
        """Returns the IDs of the peers and seeds with a connected link."""
        return [
            name
            for name, peer in self._dialled.items()
            if peer.link.is_connected
        ]

    def set_peers(self, peer_addresses: dict[str, Address]) -> None:
        """Dials new peers and closes the links to removed ones."""
        addresses = self._add_unknown_seeds(peer_addresses)
        for peer_id in list(self._dialled):
            if addresses.get(peer_id) != self._dialled[peer_id].address:
                self._remove_peer(peer_id)
        for peer_id, address in addresses.items():
            if peer_id not in self._dialled:
                link = Link(self._listener, peer_id, None)
                self._dialled[peer_id] = _DialledPeer(address, link)
                self._dial(peer_id)

    def _remove_peer(self, peer_id: str) -> None:
        peer = self._dialled.pop(peer_id)
        if peer.timer is not None:
            peer.timer.cancel()
        peer.link.close("the peer is no longer a member")

    def _dial(self, peer_id: str) -> None:
        peer = self._dialled.get(peer_id)
        if peer is None:
            return
        self._dial_count += 1
        peer.link = Link(self._listener, peer_id, None)
        peer.link.stream = self._streams.dial(peer.address, peer.link)
        peer.timer = self._timers.call_later(
            DIAL_TIMEOUT_S, lambda: self._check_dial(peer_id)
        )

    def _check_dial(self, peer_id: str) -> None:
        peer = self._dialled.get(peer_id)
        if peer is None:
            return
        if peer.link.is_connected:
            peer.backoff.reset()
            return
        if peer.link.stream is not None:
            peer.link.stream.close()
            peer.link.stream = None
        peer.timer = self._timers.call_later(
            peer.backoff.next_delay_s(), lambda: self._dial(peer_id)
        )

    def dial_now(self, peer_id: str) -> None:
        """Dials a peer from which a message has arrived, without backoff.

        Otherwise a peer that has restarted would have to wait for the backoff
        delay that its absence caused. Does nothing if a link to the peer is
        open or being dialled.
        """
        peer = self._dialled.get(peer_id)
        if peer is None or peer.link.stream is not None:
            return
        if peer.timer is not None:
            peer.timer.cancel()
        peer.backoff.reset()
        self._dial(peer_id)

    def check_links(self, now_s: float) -> None:
        """Closes unresponsive links and redials closed ones."""
        for accepted in self._accepted.connections():
            if now_s - accepted.last_received_at_s > ACCEPTED_TIMEOUT_S:
                accepted.close("nothing has come over the link")
        for peer_id, peer in list(self._dialled.items()):
            link = peer.link
            is_unresponsive = now_s - link.last_received_at_s > READ_TIMEOUT_S
            if link.is_connected and is_unresponsive:
                self._unresponsive_count += 1
                link.close("the link is unresponsive")
            has_pending_timer = (
                peer.timer is not None and not peer.timer.is_cancelled
            )
            if not peer.link.is_connected and not has_pending_timer:
                self._dial(peer_id)

    def send(self, peer_id: str, message: PeerMessage) -> Link | None:
        """Sends a message to a peer.

        Returns:
            The link used; None if no byte went to a socket.
        """
        peer = self._dialled.get(peer_id)
        if peer is None or not peer.link.send(message):
            return None
        return peer.link

    def counts(self) -> LinkCounts:
        """Returns the total numbers of dials and of unresponsive links."""
        return LinkCounts(self._dial_count, self._unresponsive_count)
