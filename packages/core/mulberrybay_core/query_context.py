"""What a query is planned with, and what its coordinator must do next."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from mulberrybay_core.attempts import Attempt
from mulberrybay_core.configuration import Targets
from mulberrybay_core.errors import Failure
from mulberrybay_core.extra_load import ExtraLoadBudget
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.hedging import HedgePolicy
from mulberrybay_core.overload_episode import OverloadEpisode
from mulberrybay_core.queries import QueryAnswer
from mulberrybay_core.replica_choice import ReplicaPolicy
from mulberrybay_core.server_waits import ServerWaits
from mulberrybay_core.snapshot_catalog import SnapshotCatalog


class ClassPolicies(NamedTuple):
    """What the queries of one class share."""

    replicas: ReplicaPolicy
    hedging: HedgePolicy
    budget: ExtraLoadBudget
    waits: ServerWaits
    overload: OverloadEpisode


class QueryContext(NamedTuple):
    """What a query is planned with.

    Attributes:
        targets: The class's targets.
        revision: The configuration revision in force.
        fleet: The VMs.
        catalog: The index snapshots.
        may_use: Whether a backend server may get new work at a time.
        next_attempt_id: Returns identities unique in this process.
        policies: What the class's queries share.
    """

    targets: Targets
    revision: int
    fleet: Fleet
    catalog: SnapshotCatalog
    may_use: Callable[[BackendServer, float], bool]
    next_attempt_id: Callable[[], int]
    policies: ClassPolicies


class QueryStep(NamedTuple):
    """What the coordinator must do next.

    Attributes:
        index_version: The snapshot that the attempts are for.
        attempts: Sub-requests to send.
        cancelled_ids: Attempts to cancel.
        result: The final answer; None while the query runs.
    """

    index_version: int
    attempts: tuple[Attempt, ...] = ()
    cancelled_ids: tuple[int, ...] = ()
    result: Result[QueryAnswer, Failure] | None = None
