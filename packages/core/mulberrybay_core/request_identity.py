"""What a caller's request asks for, apart from its identifier.

A caller that sends a request again gives it a new identifier. All nodes compute
the same identity for both, from what backend servers see of the request.
"""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Final

from mulberrybay_core.caller_messages import CallerRequest

IDENTITY_BYTES: Final = 16
# What names a caller. Any other header may differ between two copies of a request,
# as clients, proxies and tracers add moments, counters and names of their own.
_CALLER_HEADERS: Final = frozenset(
    {"authorization", "cookie", "from", "x-api-key"}
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


def _caller_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Yields what the headers say of the caller."""
    for original_name, value in headers:
        name = original_name.lower()
        if name == _CALLER_ADDRESSES_HEADER:
            yield name, _caller_address(value)
        elif name in _CALLER_HEADERS:
            yield name, value


def identify_request(request: CallerRequest) -> bytes:
    """Returns the identity of a request: method, target, caller and body.

    The caller is what its headers say of it: credentials and the address that
    a proxy has named. The address of its connection is left out, since backend
    servers don't see it.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for text in (
        request.method,
        request.host,
        request.target,
        *(
            f"{name}:{value}"
            for name, value in sorted(_caller_headers(request.headers))
        ),
    ):
        # Neither a target nor a header contains a line break.
        digest.update(text.encode("utf-8", "surrogatepass") + b"\n")
    digest.update(b"\n" + request.body)
    return digest.digest()
