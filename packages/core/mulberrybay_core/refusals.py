"""Why a node refuses requests of callers, for its counters."""

import enum


class RefusalReason(enum.Enum):
    """Why a request was not begun."""

    STOPPING = "stopping"
    OUT_OF_SERVICE = "out_of_service"
    NO_LEASE = "no_lease"
    NODE_FULL = "node_full"
    DEADLINE_PASSED = "deadline_passed"
    QUEUES_FULL = "queues_full"
    PLATFORM_LOST = "platform_lost"
    WRITE_SHARE_USED = "write_share_used"
