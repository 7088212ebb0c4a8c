"""The union of all messages between nodes."""

from typing import NamedTuple

from mulberrybay_core.attempts import AttemptBatch, AttemptReply
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
)


class AttemptReplyMessage(NamedTuple):
    """The reply to an attempt, sent from the holder to the coordinator."""

    query_id: str
    reply: AttemptReply


class CancelMessage(NamedTuple):
    """Attempts whose replies the coordinator no longer needs."""

    query_id: str
    attempt_ids: tuple[int, ...]


PeerMessage = (
    Heartbeat
    | HeartbeatAck
    | Goodbye
    | Claim
    | ClaimAnswer
    | ConfigurationRequest
    | ConfigurationUpdate
    | FleetRequest
    | FleetUpdate
    | AttemptBatch
    | AttemptReplyMessage
    | CancelMessage
)
