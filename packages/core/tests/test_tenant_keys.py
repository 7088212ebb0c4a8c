"""Guards against requests that are served without a key, or as another tenant."""

import pytest

from mulberrybay_core.caller_messages import HeaderList
from mulberrybay_core.tenants.keys import (
    KeyRing,
    Tenant,
    digest_key,
    read_key_digest,
)

RING = KeyRing(
    [
        Tenant("first", (digest_key(b"key-1"), digest_key("k\xe4y".encode()))),
        Tenant("second", (digest_key(b"key-2"), digest_key(b"key-1"))),
    ]
)


@pytest.mark.parametrize(
    ("headers", "name"),
    [
        ((("Authorization", "Bearer key-1"),), "first"),
        ((("AUTHORIZATION", "bearer  key-2 "),), "second"),
        ((("Authorization", "Bearer k\xc3\xa4y"),), "first"),
        ((), None),
        ((("Authorization", "Bearer"),), None),
        ((("Authorization", "Bearer "),), None),
        ((("Authorization", "Bearer key-3"),), None),
        ((("Authorization", "Bearer KEY-1"),), None),
        ((("Authorization", "Basic key-1"),), None),
        ((("Authorization", "key-1"),), None),
        ((("X-Api-Key", "key-1"), ("X-Tenant", "first")), None),
        ((("Authorization", "Bearer key-1"),) * 2, None),
        (
            (
                ("Authorization", "Bearer key-3"),
                ("authorization", "Bearer key-1"),
            ),
            None,
        ),
    ],
)
def test_tenant_is_the_one_whose_key_the_only_credentials_are(
    headers: HeaderList, name: str | None
) -> None:
    digest = read_key_digest(headers)
    tenant = RING.find(digest)
    assert (tenant.name if tenant else None) == name
    assert RING.judge(digest, is_public=False) == (tenant is not None, tenant)
    assert RING.judge(digest, is_public=True) == (True, tenant)


def test_ring_without_tenants_admits_no_key() -> None:
    digest = read_key_digest((("Authorization", "Bearer key-1"),))
    assert not KeyRing([]).judge(digest, is_public=False).is_admitted
