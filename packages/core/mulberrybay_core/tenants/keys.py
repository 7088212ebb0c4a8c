"""API keys of tenants, kept as digests."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.caller_messages import HeaderList

CREDENTIALS_HEADER: Final = "authorization"
_SCHEME: Final = "bearer"
_DIGEST_BYTES: Final = 32


class Tenant(NamedTuple):
    """One tenant of a configuration.

    Attributes:
        name: Identifies the tenant; backend servers are told it.
        key_digests: The digests of its API keys.
        priority: Takes precedence over that of a route; None if it has none.
        rate_per_s: The requests per second that it may send to all nodes
            together; 0 for no limit.
        burst_count: The requests that it may send beyond that in a window.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst_count: float = 0.0


class Verdict(NamedTuple):
    """Whether a request may be served, by one configuration.

    Attributes:
        is_admitted: Whether the request may be served.
        tenant: The tenant whose key it carries; None without a known key.
    """

    is_admitted: bool
    tenant: Tenant | None


def digest_key(key: bytes) -> bytes:
    """Returns the digest by which an API key is known."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


def read_key_digest(headers: HeaderList) -> bytes | None:
    """Returns the digest of the API key that a request carries.

    Returns:
        The digest; None if there is no key, or if there are several: a backend
        server might take another one than this node does.
    """
    values = [
        value for name, value in headers if name.lower() == CREDENTIALS_HEADER
    ]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return None
    # Headers are decoded as Latin-1, whatever the caller's encoding is.
    return digest_key(key.encode("latin-1", "replace"))


class KeyRing:
    """The API keys of all tenants of one configuration."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self._known: dict[bytes, tuple[bytes, Tenant]] = {}
        for tenant in tenants:
            for digest in tenant.key_digests:
                # Of two tenants with the same key, the first one has it.
                self._known.setdefault(digest, (digest, tenant))

    def find(self, digest: bytes | None) -> Tenant | None:
        """Returns the tenant that has a key; None if no tenant has it."""
        if digest is None:
            return None
        known = self._known.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return None
        return known[1]

    def judge(self, digest: bytes | None, *, is_public: bool) -> Verdict:
        """Returns whether a request with a key may be served.

        Args:
            digest: The digest of its key; None without one.
            is_public: Whether its route serves requests without a known key.
        """
        tenant = self.find(digest)
        return Verdict(is_public or tenant is not None, tenant)
