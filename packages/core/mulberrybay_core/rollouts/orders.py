"""Orders of rollouts, their status, and what nodes count of them."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, Protocol


class RolloutState(enum.StrEnum):
    """The state of a rollout; all but RUNNING are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutStep(enum.StrEnum):
    """The step of a rollout."""

    CANARY = "canary"
    PROMOTE = "promote"
    DONE = "done"


class RolloutTerms(NamedTuple):
    """The bounds of each rollout, for all nodes together.

    Attributes:
        expose_share: The ratio of the service's requests that a version that is
            not known to be good may get.
        expose_slack_count: The requests that it may get beyond that.
        rollback_s: How long after its 50th bad reply a bad version may still
            get requests.
    """

    expose_share: float
    expose_slack_count: float
    rollback_s: float


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to another version.

    Attributes:
        service: The service; also the name of the object in the store.
        target_version: The version that its servers should have.
        duration_s: How long after the order the rollout has to be over.
        object_version: The position of the object's last change, including
            changes of its status. It increases with each write.
    """

    service: str
    target_version: str
    duration_s: float
    object_version: int


class RolloutStatus(NamedTuple):
    """The status that nodes write into the order's object.

    Attributes:
        state: The state.
        step: The step; of an unknown or missing one, CANARY while the rollout
            is running, else DONE.
        target_version: The version that the status is about. A status about
            another version than the order's belongs to an earlier order.
        age_s: The known age of the order when the status was written; 0 if the
            stored status has none.
        reason: Why the rollout was rolled back, for operators; else empty.
    """

    state: RolloutState
    step: RolloutStep
    target_version: str
    age_s: float = 0.0
    reason: str = ""


class ArmCounts(NamedTuple):
    """Replies of the old or of the new version on one route.

    Attributes:
        reply_count: Replies, including lost ones.
        bad_count: Failures and lost replies among them.
        log_latency_sum: The sum of the logarithms of the latencies, relative to
            the typical latency of the route.
        log_latency_square_sum: The sum of their squares.
        latency_count: The number of latencies in the sums; latencies of cold
            servers and of bad replies are left out.
    """

    reply_count: int = 0
    bad_count: int = 0
    log_latency_sum: float = 0.0
    log_latency_square_sum: float = 0.0
    latency_count: int = 0


# Whether the version is the new one, and the name of the route.
ArmKey = tuple[bool, str]


class RolloutCounts(NamedTuple):
    """What one node has counted of a rollout; the value in a heartbeat.

    Counts are cumulative since the order, so that lost and repeated heartbeats
    do no harm.

    Attributes:
        service: The service.
        target_version: The new version.
        age_s: The known age of the order.
        arms: The counts by version and route.
        old_in_flight_count: Requests to old servers that have no reply yet.
        is_condemned: Whether the node knows that the version was judged bad.
            Nodes that receive this stop to send to it, also if they don't
            reach the store.
        sent_count: The requests that the node has sent to the new version.
    """

    service: str
    target_version: str
    age_s: float
    arms: Mapping[ArmKey, ArmCounts]
    old_in_flight_count: int = 0
    is_condemned: bool = False
    sent_count: int = 0


class RolloutSummary(NamedTuple):
    """A rollout as operators see it in the log and the metrics.

    Attributes:
        order: The order.
        state: The state that this node follows.
        step: The step that this node follows.
        age_s: The known age of the order.
        new: Counts of the new version, of all nodes that this node has heard.
        old: Counts of the old version.
        sent_count: The requests that this node has sent to the new version.
        allowed_count: The requests that this node may send to it.
        reason: Why the rollout waits or was rolled back; may be empty.
    """

    order: RolloutOrder
    state: RolloutState
    step: RolloutStep
    age_s: float
    new: ArmCounts
    old: ArmCounts
    sent_count: int
    allowed_count: float
    reason: str


class _Entry(Protocol):
    @property
    def server_id(self) -> str: ...
    @property
    def version(self) -> str: ...
    @property
    def started_at_ms(self) -> int: ...
    @property
    def failure_domain(self) -> str: ...


class RolloutServer(Protocol):
    """What rollouts need to know of a backend server; see `KnownServer`."""

    @property
    def entry(self) -> _Entry:
        """The server's entry."""

    @property
    def cold_until_s(self) -> float:
        """When the server stops being cold."""
