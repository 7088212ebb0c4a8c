"""What a caller's request asks for, apart from its identifier.

A caller that sends a request again gives it a new identifier. All nodes compute
the same identity for both, from what backend servers see of the request.
"""

import hashlib
from typing import Final

from mulberrybay_core.caller_messages import CallerRequest

IDENTITY_BYTES: Final = 16
# Headers that differ between two requests for the same thing: they name one
# request, one moment or the way that it took.
_VARYING_HEADERS: Final = frozenset(
    {
        "baggage",
        "date",
        "forwarded",
        # `CallerRequest.host` has it without case and port.
        "host",
        "idempotency-key",
        "request-id",
        "sentry-trace",
        "traceparent",
        "tracestate",
        "uber-trace-id",
        "via",
        "x-amzn-trace-id",
        "x-attempt",
        "x-cloud-trace-context",
        "x-correlation-id",
        "x-real-ip",
        "x-request-id",
        "x-request-start",
        "x-retry-count",
        "x-span-id",
        "x-timestamp",
        "x-trace-id",
    }
)
_VARYING_HEADER_PREFIXES: Final = (
    "x-b3-",
    "x-datadog-",
    "x-envoy-",
    "x-forwarded-",
)


def identify_request(request: CallerRequest) -> bytes:
    """Returns the identity of a request: method, target, caller and body.

    The caller is what its headers say of it, such as credentials and user
    agent. Its address is left out, since backend servers don't see it.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    headers = sorted((name.lower(), value) for name, value in request.headers)
    for text in (
        request.method,
        request.host,
        request.target,
        *(
            f"{name}:{value}"
            for name, value in headers
            if name not in _VARYING_HEADERS
            and not name.startswith(_VARYING_HEADER_PREFIXES)
        ),
    ):
        # Neither a target nor a header contains a line break.
        digest.update(text.encode("utf-8", "surrogatepass") + b"\n")
    digest.update(b"\n" + request.body)
    return digest.digest()
