"""The reasons for which a node refuses callers' requests.

They label the counters of refused requests.
"""

import enum


class RefusalReason(enum.Enum):
    """Why a request was refused before any processing."""

    STOPPING = "stopping"
    OUT_OF_SERVICE = "out_of_service"
    NO_LEASE = "no_lease"
    NODE_FULL = "node_full"
    DEADLINE_PASSED = "deadline_passed"
    QUEUES_FULL = "queues_full"
    PLATFORM_LOST = "platform_lost"
    WRITE_SHARE_USED = "write_share_used"
