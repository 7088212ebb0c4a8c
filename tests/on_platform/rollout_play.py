"""Plays a rollout as operators and the platform do, and checks its bounds."""

import random
import threading
import time
from collections.abc import Iterator
from typing import Any, Final, NamedTuple, Self

from deployment import Deployment
from standins import BackendStandIn

from mulberrybay_testing.waiting import wait_until

EXPOSE_SHARE: Final = 0.1
EXPOSE_SLACK: Final = 50
ROLLBACK_S: Final = 5.0
BAD_REPLY_COUNT: Final = 50
BOUNDS: Final = (
    f"[rollouts]\nexpose_share = {EXPOSE_SHARE}\n"
    f"expose_slack = {EXPOSE_SLACK}\nrollback_ms = {1000 * ROLLBACK_S:.0f}\n"
)
FINAL_STATES: Final = ("completed", "rolled_back")
POLL_S: Final = 0.05
# The platform stops the servers of a version that was rolled back after this.
DRAIN_DELAY_S: Final = 2.0
# A request that was sent before its node knew of a final state has arrived, and
# each node has read the state, after this.
IN_FORCE_S: Final = 1.5


class Version(NamedTuple):
    """How the servers of a version behave.

    Attributes:
        name: Its name.
        fail_ratio: The ratio of its replies that are failures.
        delay_s: The processing time of a request.
        base_delay_s: The same while it has no faults.
        good_for_s: How long after the order it has no faults.
    """

    name: str = "v2"
    fail_ratio: float = 0.0
    delay_s: float = 0.0
    base_delay_s: float = 0.0
    good_for_s: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Whether it should be rolled back."""
        return self.fail_ratio > 0 or self.delay_s > 0


class RolloutPlay(threading.Thread):
    """One rollout of a service; a context manager.

    Starts the servers of the new version beside the old ones, and stops those
    that the final state ends.

    Attributes:
        ordered_at_s: When it was ordered.
        final_at_s: When the store had the final state; None before.
        old: The servers that ran before.
        new: The servers of the new version.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        version: Version,
        duration_s: float,
        seed: int = 1,
    ) -> None:
        super().__init__()
        self._deployment = deployment
        self._service = service
        self._version = version
        self.duration_s = duration_s
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._states: list[str] = []
        self._failed_at_s: list[float] = []
        self.final_at_s: float | None = None
        self.old = [*deployment.backends[service]]
        self.new: list[BackendStandIn] = []
        self.ordered_at_s = 0.0

    def __enter__(self) -> Self:
        self.ordered_at_s = time.monotonic()
        spec = {
            "service": self._service,
            "target_version": self._version.name,
            "duration_s": self.duration_s,
        }
        self._deployment.put("rollouts", self._service, spec)
        for old in self.old:
            server = self._deployment.add_backend(
                self._service, zone=old.zone, version=self._version.name
            )
            server.is_failing = lambda _: self._fails()
            self.new.append(server)
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self.join()

    def _has_faults(self) -> bool:
        age_s = time.monotonic() - self.ordered_at_s
        return age_s >= self._version.good_for_s

    def _fails(self) -> bool:
        if not self._has_faults() or (
            self._random.random() >= self._version.fail_ratio
        ):
            return False
        self._failed_at_s.append(time.monotonic())
        return True

    @property
    def status(self) -> dict[str, Any]:
        """The status in the store."""
        status = self._deployment.store.status_of("rollouts", self._service)
        return dict(status or {})

    def run(self) -> None:
        """Follows the status as the platform does."""
        while not self._stopping.wait(POLL_S):
            for server in self.new:
                delay_s = self._version.base_delay_s
                if self._has_faults():
                    delay_s = max(delay_s, self._version.delay_s)
                server.delay_s = delay_s
            state = self.status.get("state", "")
            if not self._states or self._states[-1] != state:
                self._states.append(state)
            if state not in FINAL_STATES or self.final_at_s is not None:
                continue
            self.final_at_s = time.monotonic()
            if state == "rolled_back" and self._stopping.wait(DRAIN_DELAY_S):
                return
            for server in self.old if state == "completed" else self.new:
                self._deployment.stop_at_once(server)

    def wait_for_end(self, margin_s: float = 0.0) -> None:
        """Waits for a final state, and until it is in force everywhere.

        Args:
            margin_s: How long after the deadline it may come.
        """
        end_s = self.ordered_at_s + self.duration_s + margin_s
        wait_until(
            lambda: (
                self.status.get("state") in FINAL_STATES
                and self.final_at_s is not None
            ),
            end_s - time.monotonic(),
            f"the rollout has a final state: {self.status}",
        )
        time.sleep(IN_FORCE_S)

    def arrival_times(self, servers: list[BackendStandIn]) -> list[float]:
        """Returns when requests of callers arrived at servers, in order."""
        return sorted(
            arrival.at_s
            for server in servers
            for arrival in server.arrivals
            if arrival.was_executed
        )

    @property
    def outcome(self) -> str:
        """The state in the store, the reason and the age at the end."""
        status = self.status
        return (
            f"{self._version} {status.get('state')} {status.get('reason')}"
            f" after {(self.final_at_s or 0.0) - self.ordered_at_s:.1f} s"
        )

    def problems(
        self, margin_s: float = 0.0, *, may_doubt: bool = False
    ) -> Iterator[str]:
        """Yields what is wrong with the end, and each bound that was broken.

        Args:
            margin_s: How long after the deadline the final state may come.
            may_doubt: Whether a good version may be rolled back, since faults
                of its servers can't be told from faults of the version.
        """
        expected = "rolled_back" if self._version.is_bad else "completed"
        state = self.status.get("state")
        if state != expected and not (may_doubt and state == "rolled_back"):
            yield f"{self._version} is {state}"
        if self.final_at_s is None:
            return
        took_s = self.final_at_s - self.ordered_at_s
        if took_s > self.duration_s + margin_s:
            yield f"final after {took_s:.1f} s of {self.duration_s} s"
        finals = {s for s in self._states if s in FINAL_STATES}
        if len(finals) > 1:
            yield f"several final states: {self._states}"
        ended = self.old if state == "completed" else self.new
        last_s = max(self.arrival_times(ended), default=0.0)
        if last_s > self.final_at_s + IN_FORCE_S and not may_doubt:
            late_s = last_s - self.final_at_s
            yield f"a request {late_s:.1f} s after it was {state}"
        if self._version.is_bad:
            yield from self._exposure_problems(margin_s)

    def _exposure_problems(self, margin_s: float) -> Iterator[str]:
        deadline_s = self.ordered_at_s + self.duration_s
        times_s = self.arrival_times(self.new)
        count = sum(at_s <= deadline_s for at_s in times_s)
        all_count = sum(
            self.ordered_at_s <= at_s <= deadline_s
            for at_s in self.arrival_times(self.old + self.new)
        )
        if count > EXPOSE_SHARE * all_count + EXPOSE_SLACK:
            yield f"{count} of {all_count} requests at a bad version"
        if len(self._failed_at_s) >= BAD_REPLY_COUNT:
            late_s = times_s[-1] - self._failed_at_s[BAD_REPLY_COUNT - 1]
            if late_s > ROLLBACK_S + margin_s:
                yield f"a request {late_s:.1f} s after the 50th bad reply"
