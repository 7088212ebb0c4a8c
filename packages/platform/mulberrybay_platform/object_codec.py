"""The product's own version of the platform's object API."""

import json
import urllib.parse
from collections.abc import Callable
from typing import TypeVar

from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_platform.dialect import StoreCall
from mulberrybay_runtime.http_exchange import HttpReply

T = TypeVar("T")


def object_path(kind: str, name: str) -> str:
    """Returns the URL path of an object."""
    quoted_name = urllib.parse.quote(name, safe="")
    return f"{kind_path(kind)}/{quoted_name}"


def kind_path(kind: str) -> str:
    """Returns the URL path of all objects of a kind."""
    return f"/v1/objects/{urllib.parse.quote(kind, safe='')}"


def _platform_failure(reply: HttpReply, detail: str = "") -> Failure:
    return Failure(
        kind=FailureKind.PLATFORM,
        step=Step.RECORD,
        peer="platform",
        detail=detail or f"the platform answered {reply.status}",
        retry_after_s=1.0,
        # The store rejects a request with these statuses before it writes.
        run_state=(
            RunState.NOT_RUN
            if reply.status in {413, 428, 429}
            else RunState.UNKNOWN
        ),
    )


def _parse_body(
    reply: HttpReply, read: Callable[[JsonObject], T]
) -> T | Failure:
    try:
        return read(json.loads(reply.body))
    except DECODE_ERRORS as error:
        return _platform_failure(reply, f"malformed reply: {error!r}")


def _parse_object(value: JsonObject) -> StoredObject:
    return StoredObject(
        kind=str(value["kind"]),
        name=str(value["name"]),
        version=int(value["version"]),
        value=dict(value["value"]),
    )


def _parse_list(value: JsonObject) -> ObjectList:
    return ObjectList(
        items=tuple(_parse_object(item) for item in value["items"]),
        store_version=int(value["version"]),
    )


def decode_object(reply: HttpReply) -> StoredObject | Failure | None:
    """Decodes the reply to a read; None if there is no such object."""
    if reply.status == 404:
        return None
    if reply.status != 200:
        return _platform_failure(reply)
    return _parse_body(reply, _parse_object)


def decode_list(reply: HttpReply) -> ObjectList | Failure:
    """Decodes the reply to a list or a watch."""
    if reply.status != 200:
        return _platform_failure(reply)
    return _parse_body(reply, _parse_list)


def decode_write(reply: HttpReply) -> WriteResult | Failure:
    """Decodes the reply to a conditional write or deletion."""
    if reply.status in {200, 201}:
        return _parse_body(
            reply,
            lambda value: WriteResult(
                WriteOutcome.WRITTEN, int(value["version"])
            ),
        )
    if reply.status == 204:
        return WriteResult(WriteOutcome.WRITTEN, 0)
    if reply.status in {404, 412}:
        return _parse_body(
            reply,
            lambda value: WriteResult(
                WriteOutcome.CONFLICT, int(value.get("version", 0))
            ),
        )
    return _platform_failure(reply)


class ObjectDialect:
    """Dialect of the product's own object API; see `StoreDialect`."""

    def read(self, kind: str, name: str) -> StoreCall:
        """Returns the call that reads an object."""
        return StoreCall("read", "GET", object_path(kind, name))

    def list_kind(
        self, kind: str, after_name: str, *, may_be_stale: bool
    ) -> StoreCall:
        """Returns the call that lists a kind; this API has no paging."""
        del after_name, may_be_stale
        return StoreCall("list", "GET", kind_path(kind))

    def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> StoreCall:
        """Returns the call that waits for changes after a version."""
        path = (
            f"/v1/watch/{urllib.parse.quote(kind, safe='')}"
            f"?after={after_version}&timeout_s={timeout_s}"
        )
        return StoreCall("watch", "GET", path)

    def write(
        self, kind: str, name: str, value: JsonObject, expected_version: int
    ) -> StoreCall:
        """Returns the call that writes an object; version 0 creates it."""
        condition = ("If-Match", f'"{expected_version}"')
        if expected_version == 0:
            condition = ("If-None-Match", "*")
        return StoreCall(
            "write",
            "PUT",
            object_path(kind, name),
            (condition, ("Content-Type", "application/json")),
            json.dumps(value).encode(),
        )

    def write_status(
        self, kind: str, name: str, status: JsonObject, expected_version: int
    ) -> StoreCall | None:
        """Returns None: the objects of this API have no status."""
        return None

    def delete(self, kind: str, name: str, expected_version: int) -> StoreCall:
        """Returns the call that deletes an object."""
        return StoreCall(
            "delete",
            "DELETE",
            object_path(kind, name),
            (("If-Match", f'"{expected_version}"'),),
        )

    def read_era(self, reply: HttpReply) -> int | None:
        """Returns 0, because this store never returns from an older copy."""
        del reply
        return 0

    def decode_object(self, reply: HttpReply) -> StoredObject | Failure | None:
        """Decodes the reply to a read; None if there is no such object."""
        return decode_object(reply)

    def decode_list(self, reply: HttpReply) -> ObjectList | Failure:
        """Decodes the reply to a list or a watch."""
        return decode_list(reply)

    def decode_write(self, reply: HttpReply) -> WriteResult | Failure:
        """Decodes the reply to a conditional write or deletion."""
        return decode_write(reply)
