"""Tests when links to peers are dialled."""

from mulberrybay_core.addresses import Address
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_nodes.peer_messages import PeerMessage
from mulberrybay_runtime.callers.resources import CallerResources
from mulberrybay_runtime.streams import Stream, StreamObserver
from mulberrybay_runtime.timers import Timers

ADDRESS = Address("127.0.0.1", 7000)


class _Stream:
    def close(self) -> None:
        """Does nothing."""


class _Streams:
    def __init__(self) -> None:
        self.observers: list[StreamObserver] = []

    def dial(self, address: Address, observer: StreamObserver) -> Stream:
        """Records a dial."""
        assert address == ADDRESS
        self.observers.append(observer)
        return _Stream()  # type: ignore[return-value]


class _Listener:
    def on_peer_message(self, message: PeerMessage, link: Link) -> None:
        """Ignores messages."""

    def on_link_closed(self, link: Link) -> None:
        """Ignores closed links."""


def test_dial_now_skips_the_backoff_of_a_restarted_peer() -> None:
    """Guards against a restarted peer that waits for the backoff to end.

    While it was down, dials to it were refused, so the next one is delayed.
    """
    streams = _Streams()
    links = NodeLinks(streams, Timers(), _Listener(), CallerResources())  # type: ignore[arg-type]
    links.set_peers({"node-2": ADDRESS})
    links.dial_now("node-2")
    assert len(streams.observers) == 1, "a dial is under way"
    refused = streams.observers[0]
    refused.on_closed(_Stream(), "refused")  # type: ignore[arg-type]
    links.check_links(0.0)
    assert len(streams.observers) == 1, "the backoff delay is not over"
    links.dial_now("node-2")
    assert len(streams.observers) == 2
    links.dial_now("node-3")
    assert len(streams.observers) == 2, "node-3 is not a peer"
