"""The inputs for processing a query, and the resulting actions."""

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
    """Policies and statistics shared by the queries of one class."""

    replica_policy: ReplicaPolicy
    hedging: HedgePolicy
    budget: ExtraLoadBudget
    waits: ServerWaits
    overload: OverloadEpisode


class QueryContext(NamedTuple):
    """The state of a node that the processing of a query depends on.

    Attributes:
        targets: The targets of the query's class of work.
        revision: The current configuration revision.
        fleet: The known VMs.
        catalog: The known index snapshots.
        may_use: Returns whether a backend server may get new work at the
            given time.
        next_attempt_id: Returns an ID that is unique in this process.
        policies: The policies shared by the queries of the class.
    """

    targets: Targets
    revision: int
    fleet: Fleet
    catalog: SnapshotCatalog
    may_use: Callable[[BackendServer, float], bool]
    next_attempt_id: Callable[[], int]
    policies: ClassPolicies


class QueryStep(NamedTuple):
    """The actions that the coordinator must perform next for a query.

    Attributes:
        index_version: The index version that the attempts are for.
        attempts: Attempts to send.
        cancelled_ids: IDs of the attempts to cancel.
        result: The answer or failure; None while the query is in progress.
    """

    index_version: int
    attempts: tuple[Attempt, ...] = ()
    cancelled_ids: tuple[int, ...] = ()
    result: Result[QueryAnswer, Failure] | None = None
