"""Error answers that a node itself sends to callers."""

from typing import Final

from mulberrybay_core.caller_messages import CallerAnswer

# Answers with these statuses say that the request was not run.
REFUSAL_STATUSES: Final = (408, 421, 429, 503)
# So do these, of the one that answers: the request exceeds its limits.
SIZE_REFUSAL_STATUSES: Final = (413, 431)
NODE_REFUSAL_STATUSES: Final = (*REFUSAL_STATUSES, *SIZE_REFUSAL_STATUSES)
BAD_REQUEST: Final = CallerAnswer(400, body=b"the request is not valid HTTP\n")
NO_HOST: Final = CallerAnswer(
    400, body=b"the request has not exactly one host and a path\n"
)
UNKNOWN_KEY: Final = CallerAnswer(
    401,
    (("WWW-Authenticate", "Bearer"),),
    b"not run: the request carries no known API key\n",
)
NO_ROUTE: Final = CallerAnswer(404, body=b"no route has this host and path\n")
REQUEST_TIMEOUT: Final = CallerAnswer(
    408, body=b"the request did not arrive in time\n"
)
BODY_TOO_LARGE: Final = CallerAnswer(413, body=b"the body is too large\n")
HEADERS_TOO_LARGE: Final = CallerAnswer(
    431, body=b"the headers are too large\n"
)
UNSUPPORTED_VERSION: Final = CallerAnswer(
    505, body=b"the version of HTTP is not supported\n"
)
INCOMPLETE_REPLY: Final = CallerAnswer(
    502, body=b"the backend server gave no whole reply; it may have run\n"
)
TOO_FEW_SHARDS: Final = CallerAnswer(
    502, body=b"too few shards replied for an answer\n"
)
OUT_OF_TIME: Final = CallerAnswer(
    504, body=b"no reply within the time of the request; it may have run\n"
)


# Other nodes serve the request at once.
STOPPING_RETRY_S: Final = 0.05


def not_run(detail: str, retry_after_s: float) -> CallerAnswer:
    """Returns the refusal of a request that no backend server has processed.

    The caller may send the request again.

    Args:
        detail: The reason, as text for people.
        retry_after_s: The delay after which the caller should retry.
    """
    return CallerAnswer(
        503,
        (("Retry-After", f"{retry_after_s:.3f}"),),
        f"not run: {detail}\n".encode(),
    )


def over_quota(retry_after_s: float) -> CallerAnswer:
    """Returns the refusal of a request beyond its tenant's quota.

    No backend server has processed it.

    Args:
        retry_after_s: The delay after which it can be served.
    """
    return CallerAnswer(
        429,
        (("Retry-After", f"{retry_after_s:.3f}"),),
        b"not run: the quota of the tenant is used up\n",
    )


# Connections without progress are closed after a second.
SHORT_OF_MEMORY_RETRY_S: Final = 1.0
SHORT_OF_MEMORY: Final = not_run(
    "this node is short of memory", SHORT_OF_MEMORY_RETRY_S
)
STOPPING: Final = not_run("this node stops", STOPPING_RETRY_S)
