"""Whether a request waits for backend servers that have asked for a pause.

Servers ask for pauses in bursts of requests, each for a short time of its own.
A caller that is refused returns once, at most; one whose answer is late still
gets it. A request therefore waits while its answer can arrive in time, and is
refused at once if it can't, with the time at which the pause ends.
"""

from collections.abc import Iterable


def can_wait(
    available_at_s: float, reply_latency_s: float, last_answer_at_s: float
) -> bool:
    """Returns whether a reply is expected before the last possible answer.

    Args:
        available_at_s: When a server accepts requests again.
        reply_latency_s: The typical latency of a reply.
        last_answer_at_s: When the caller must have its answer.
    """
    return available_at_s + reply_latency_s <= last_answer_at_s


def enough_available_at_s(
    available_at_s: Iterable[float], needed_count: int
) -> float:
    """Returns when enough shards have a server that accepts requests.

    Args:
        available_at_s: When each shard has one; infinity for never.
        needed_count: The number of shards that an answer needs, at least 1.
    """
    return sorted(available_at_s)[needed_count - 1]
