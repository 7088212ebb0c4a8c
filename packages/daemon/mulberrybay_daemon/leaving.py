"""Decides which backend servers are leaving, from three sources.

The platform's list of VMs is correct but lags. A server's reply to an attempt
is correct at the time of the reply. A health check may be wrong in both
directions, so it counts only until a reply or the list contradicts it.
"""

from typing import Final

from mulberrybay_core.fleet import BackendServer, Fleet

# A health check that reports leaving counts after this time, which leaves a
# reply time to contradict it.
HEALTH_CONFIRMATION_TIME_S: Final = 0.5
EVIDENCE_VALIDITY_S: Final = 2.0
# After this time the platform's list shows a leaving server as leaving.
MAX_VM_LIST_LAG_S: Final = 15.0
# A server that its reply reported as leaving is used again after this time
# without new evidence.
LEAVING_TIMEOUT_S: Final = 60.0


class _Evidence:
    """Evidence from replies, health checks and the list on one server."""

    def __init__(self) -> None:
        self.last_live_reply_at_s = float("-inf")
        self.reply_leaving_since_s: float | None = None
        self.health_leaving_since_s: float | None = None
        self.health_live_at_s = float("-inf")
        self.was_listed_leaving = False


class LeavingServers:
    """Combines the platform's list, replies and health checks."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def _get_or_create_evidence(self, server_id: str) -> _Evidence:
        evidence = self._evidence.get(server_id)
        if evidence is None:
            evidence = self._evidence[server_id] = _Evidence()
        return evidence

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs.

        Drops the evidence on a server that the list showed as leaving before
        and no longer does.
        """
        for server in fleet.servers:
            evidence = self._evidence.get(server.server_id)
            if server.state == "leaving":
                self._get_or_create_evidence(
                    server.server_id
                ).was_listed_leaving = True
            elif evidence is not None and evidence.was_listed_leaving:
                del self._evidence[server.server_id]

    def record_reply(
        self, server_id: str, is_leaving: bool, now_s: float
    ) -> None:
        """Records whether a server's reply reports it as leaving."""
        evidence = self._get_or_create_evidence(server_id)
        if not is_leaving:
            evidence.last_live_reply_at_s = now_s
            evidence.reply_leaving_since_s = None
        elif evidence.reply_leaving_since_s is None:
            evidence.reply_leaving_since_s = now_s

    def record_health(
        self, server_id: str, is_leaving: bool, now_s: float
    ) -> None:
        """Records whether a server's health endpoint reports it as leaving."""
        evidence = self._get_or_create_evidence(server_id)
        if not is_leaving:
            evidence.health_live_at_s = now_s
            evidence.health_leaving_since_s = None
        elif evidence.health_leaving_since_s is None:
            evidence.health_leaving_since_s = now_s

    def last_live_reply_at_s(self, server_id: str) -> float:
        """Returns the time of the last reply that was not marked as leaving.

        Minus infinity if there is none.
        """
        evidence = self._evidence.get(server_id)
        return evidence.last_live_reply_at_s if evidence else float("-inf")

    def is_leaving(self, server: BackendServer, now_s: float) -> bool:
        """Returns whether a server is leaving."""
        if server.state == "leaving":
            return True
        evidence = self._evidence.get(server.server_id)
        if evidence is None:
            return False
        if evidence.reply_leaving_since_s is not None:
            return _is_leaving_by_reply(
                evidence, now_s, now_s - evidence.reply_leaving_since_s
            )
        since_s = evidence.health_leaving_since_s
        return since_s is not None and _is_leaving_by_health(
            evidence, since_s, now_s
        )


def _is_leaving_by_reply(
    evidence: _Evidence, now_s: float, age_s: float
) -> bool:
    """Returns whether a reply that reported leaving still counts."""
    is_live_by_health = now_s - evidence.health_live_at_s < EVIDENCE_VALIDITY_S
    if is_live_by_health and age_s > MAX_VM_LIST_LAG_S:
        return False
    return age_s <= LEAVING_TIMEOUT_S


def _is_leaving_by_health(
    evidence: _Evidence, since_s: float, now_s: float
) -> bool:
    """Returns whether a health check that reported leaving counts."""
    if not HEALTH_CONFIRMATION_TIME_S <= now_s - since_s <= MAX_VM_LIST_LAG_S:
        return False
    return (
        evidence.last_live_reply_at_s < since_s
        or now_s - evidence.last_live_reply_at_s > EVIDENCE_VALIDITY_S
    )
