"""What a caller's request asks for, apart from its identifier.

A caller that sends a request again gives it a new identifier. All nodes compute
the same identity for both, from what backend servers see of the request.
"""

import hashlib
from collections.abc import Iterable, Iterator
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
        "via",
        "x-cloud-trace-context",
        "x-request-start",
    }
)
_VARYING_HEADER_PREFIXES: Final = (
    "x-b3-",
    "x-datadog-",
    "x-envoy-",
    "x-forwarded-",
)
_VARYING_HEADER_SUFFIXES: Final = (
    "-attempt",
    "-correlation-id",
    "-nonce",
    "-request-id",
    "-retry-count",
    "-span-id",
    "-timestamp",
    "-trace-id",
)
_CALLER_ADDRESSES_HEADER: Final = "x-forwarded-for"


def _caller_address(value: str) -> str:
    """Returns the first of the addresses that a request came by, without port.

    The first one is the caller's; each proxy on the way adds another one.
    """
    address = value.split(",", maxsplit=1)[0].strip()
    host, separator, port = address.rpartition(":")
    is_ipv4_with_port = separator and port.isdigit() and ":" not in host
    return host if is_ipv4_with_port else address


def _identifying_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Yields what the headers say of the caller and of what it asks for."""
    for original_name, value in headers:
        name = original_name.lower()
        if name == _CALLER_ADDRESSES_HEADER:
            yield name, _caller_address(value)
        elif not (
            name in _VARYING_HEADERS
            or name.startswith(_VARYING_HEADER_PREFIXES)
            or name.endswith(_VARYING_HEADER_SUFFIXES)
        ):
            yield name, value


def identify_request(request: CallerRequest) -> bytes:
    """Returns the identity of a request: method, target, caller and body.

    The caller is what its headers say of it, such as credentials, user agent
    and the address that a proxy has named. The address of its connection is
    left out, since backend servers don't see it.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for text in (
        request.method,
        request.host,
        request.target,
        *(
            f"{name}:{value}"
            for name, value in sorted(_identifying_headers(request.headers))
        ),
    ):
        # Neither a target nor a header contains a line break.
        digest.update(text.encode("utf-8", "surrogatepass") + b"\n")
    digest.update(b"\n" + request.body)
    return digest.digest()
