"""The node's service for callers: queries, runs and addresses."""

from collections import Counter
from typing import Final

from expression import Error, Ok, Result

from mulberrybay_core.burn import RequestEnd
from mulberrybay_core.configuration import Configuration, WorkClass
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.membership import Membership
from mulberrybay_core.queries import (
    AddressAnswer,
    AdvertisedAddress,
    CancelQuery,
    QueryReplyHandler,
    QueryRequest,
    RunAnswer,
    RunReplyHandler,
    RunRequest,
)
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_daemon.coordinator import Coordinator
from mulberrybay_daemon.gate import Gate
from mulberrybay_daemon.member_task import MemberTask
from mulberrybay_daemon.runs import RunCoordinator
from mulberrybay_runtime.clock import read_clock_s

ADDRESS_TIME_TO_LIVE_S: Final = 2.0
REFUSAL_RETRY_AFTER_S: Final = 1.0
# The caller causes these failures of runs, so they don't count as failures of
# the service.
CALLER_ERROR_KINDS: Final = frozenset(
    {FailureKind.INVALID, FailureKind.CONFLICT}
)


class NodeService:
    """Accepts callers' requests while this node may process them."""

    def __init__(
        self,
        membership: Membership,
        members: MemberTask,
        gate: Gate,
        coordinator: Coordinator,
        runs: RunCoordinator,
    ) -> None:
        self._membership = membership
        self._members = members
        self._gate = gate
        self._coordinator = coordinator
        self._runs = runs
        self._out_of_service_since_s: float | None = None
        self.refuses_requests = False
        self.refusal_counts: Counter[RefusalReason] = Counter()

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies the configuration in force."""
        domain = self._membership.info.failure_domain
        if domain not in configuration.out_domains:
            self._out_of_service_since_s = None
        elif self._out_of_service_since_s is None:
            self._out_of_service_since_s = read_clock_s()

    def _is_out_of_service(self, now_s: float) -> bool:
        """Returns whether to refuse requests, as the node is out of service.

        Callers first get the time to look up other addresses.
        """
        return (
            self._out_of_service_since_s is not None
            and now_s - self._out_of_service_since_s > ADDRESS_TIME_TO_LIVE_S
        )

    def has_class(self, class_name: str) -> bool:
        """Returns whether the configuration in force has a class."""
        # Without a configuration no class is known. The request is then
        # refused for that reason, with a time for the retry.
        configuration = self._gate.configuration
        if configuration.revision == 0:
            return True
        return configuration.find_class(class_name) is not None

    def _admit_class(self, class_name: str) -> Result[WorkClass, Failure]:
        now_s = read_clock_s()
        work_class = self._gate.configuration.find_class(class_name)
        # A node that steps down can't reach the holders of all servers.
        has_lease = (
            self._membership.has_lease(now_s)
            and not self._membership.steps_down
        )
        if work_class is not None and (self.refuses_requests or not has_lease):
            self._record_end(work_class, "refused", RequestEnd(0.0, False))
        if self.refuses_requests:
            self.refusal_counts[RefusalReason.STOPPING] += 1
            return Error(self._make_refusal(FailureKind.LEAVING, "stopping"))
        if self._is_out_of_service(now_s):
            self.refusal_counts[RefusalReason.OUT_OF_SERVICE] += 1
            detail = "this node's failure domain is out of service"
            return Error(self._make_refusal(FailureKind.OUT_OF_SERVICE, detail))
        if work_class is None or not has_lease:
            self.refusal_counts[RefusalReason.NO_LEASE] += 1
            detail = "no lease from a majority of nodes, or no configuration"
            return Error(self._make_refusal(FailureKind.NO_LEASE, detail))
        return Ok(work_class)

    def _make_refusal(self, kind: FailureKind, detail: str) -> Failure:
        return Failure(
            kind,
            Step.ADMISSION,
            "",
            detail,
            retry_after_s=REFUSAL_RETRY_AFTER_S,
        )

    def _make_snapshots_unread_refusal(self) -> Failure:
        """Returns the refusal before the snapshots have been read.

        This happens when the platform fails while the node starts.
        """
        return Failure(
            FailureKind.PLATFORM,
            Step.ADMISSION,
            "platform",
            "the index snapshots have not been read yet",
            retry_after_s=REFUSAL_RETRY_AFTER_S,
        )

    def submit_query(
        self, request: QueryRequest, reply: QueryReplyHandler
    ) -> CancelQuery | None:
        """Answers a query; see `QueryService`."""
        match self._admit_class(request.class_name):
            case Result(tag="ok", ok=work_class):
                if not self._coordinator.catalog.is_listed:
                    self._record_end(
                        work_class, "refused", RequestEnd(0.0, False)
                    )
                    reply(Error(self._make_snapshots_unread_refusal()))
                    return None
                return self._coordinator.submit(request, work_class, reply)
            case Result(error=failure):
                reply(Error(failure))
        return None

    def submit_run(self, request: RunRequest, reply: RunReplyHandler) -> None:
        """Processes a non-idempotent request at most once."""
        match self._admit_class(request.class_name):
            case Result(tag="ok", ok=work_class):
                if work_class.allows_runs:
                    counted_reply = self._make_counting_handler(
                        work_class, request, reply
                    )
                    self._runs.submit(request, counted_reply)
                    return
                detail = f"class {work_class.name} does not allow runs"
                failure = Failure(
                    FailureKind.INVALID, Step.ADMISSION, "caller", detail
                )
                self._refuse_run(failure, reply)
            case Result(error=failure):
                self._refuse_run(failure, reply)

    def _refuse_run(self, failure: Failure, reply: RunReplyHandler) -> None:
        self._runs.result_counts[RunState.NOT_RUN] += 1
        reply(Error(failure))

    def _make_counting_handler(
        self, work_class: WorkClass, request: RunRequest, reply: RunReplyHandler
    ) -> RunReplyHandler:
        """Returns a reply handler that also counts the result."""

        def count_and_reply(result: Result[RunAnswer, Failure]) -> None:
            latency_s = read_clock_s() - request.received_at_s
            match result:
                case Result(tag="ok"):
                    end = RequestEnd(latency_s, is_answered=True)
                    self._record_end(work_class, "answered", end)
                case Result(error=failure):
                    if failure.kind not in CALLER_ERROR_KINDS:
                        end = RequestEnd(latency_s, is_answered=False)
                        self._record_end(work_class, "failed", end)
            reply(result)

        return count_and_reply

    def _record_end(
        self, work_class: WorkClass, outcome: str, end: RequestEnd
    ) -> None:
        self._coordinator.levels.record_end(
            read_clock_s(), work_class, outcome, end
        )

    def list_addresses(
        self, failure_domain: str
    ) -> Result[AddressAnswer, Failure]:
        """Returns the addresses of serving nodes, the caller's domain first."""
        now_s = read_clock_s()
        nodes = [
            info
            for info in self._members.serving_nodes(now_s)
            if info.is_serving
        ]
        if not nodes:
            detail = "no node is known to serve"
            return Error(self._make_refusal(FailureKind.NO_LEASE, detail))
        nodes.sort(
            key=lambda info: (
                info.failure_domain != failure_domain,
                info.node_id,
            )
        )
        addresses = tuple(
            AdvertisedAddress(
                info.node_id, info.failure_domain, info.caller_address
            )
            for info in nodes
        )
        return Ok(AddressAnswer(addresses, ADDRESS_TIME_TO_LIVE_S))
