"""Converts typed messages to and from the JSON values in the store.

The decoders return a text as their error.
"""

from typing import Any

from expression import Error, Ok, Result

from mulberrybay_core.configuration import Configuration, Targets, WorkClass
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.errors import RunState
from mulberrybay_core.platform_messages import JsonObject
from mulberrybay_core.run_record import RunRecord
from mulberrybay_core.snapshot import IndexSnapshot


def encode_configuration(configuration: Configuration) -> JsonObject:
    """Returns the JSON value of a configuration for the store."""
    return {
        "revision": configuration.revision,
        "change_id": configuration.change_id,
        "author": configuration.author,
        "changed_at_s": configuration.changed_at_s,
        "classes": [
            {
                "name": item.name,
                "allows_runs": item.allows_runs,
                "targets": item.targets._asdict(),
            }
            for item in configuration.classes
        ],
        "out_domains": sorted(configuration.out_domains),
        "out_servers": sorted(configuration.out_servers),
        "recent_change_ids": list(configuration.recent_change_ids),
        "summary": configuration.summary,
    }


def decode_configuration(value: Any) -> Result[Configuration, str]:  # noqa: ANN401
    """Decodes the result of `encode_configuration`."""
    try:
        return Ok(
            Configuration(
                revision=int(value["revision"]),
                change_id=str(value["change_id"]),
                author=str(value["author"]),
                changed_at_s=float(value["changed_at_s"]),
                classes=tuple(_decode_class(item) for item in value["classes"]),
                out_domains=frozenset(map(str, value["out_domains"])),
                out_servers=frozenset(map(str, value["out_servers"])),
                recent_change_ids=tuple(map(str, value["recent_change_ids"])),
                summary=str(value["summary"]),
            )
        )
    except DECODE_ERRORS as error:
        return Error(f"not a configuration: {error!r}")


def _decode_class(value: Any) -> WorkClass:  # noqa: ANN401
    targets = value["targets"]
    return WorkClass(
        name=str(value["name"]),
        allows_runs=bool(value["allows_runs"]),
        targets=Targets(*(float(targets[key]) for key in Targets._fields)),
    )


def encode_snapshots(snapshots: tuple[IndexSnapshot, ...]) -> JsonObject:
    """Returns the JSON value of a class's snapshots for the store."""
    return {
        "snapshots": [
            {
                "index_version": snapshot.index_version,
                "services": list(snapshot.services),
            }
            for snapshot in snapshots
        ]
    }


def decode_snapshots(
    class_name: str,
    value: Any,  # noqa: ANN401
) -> Result[tuple[IndexSnapshot, ...], str]:
    """Decodes the result of `encode_snapshots`."""
    try:
        return Ok(
            tuple(
                IndexSnapshot(
                    class_name=class_name,
                    index_version=int(item["index_version"]),
                    services=tuple(map(str, item["services"])),
                )
                for item in value["snapshots"]
            )
        )
    except DECODE_ERRORS as error:
        return Error(f"not a list of snapshots: {error!r}")


def encode_run_record(record: RunRecord) -> JsonObject:
    """Returns the JSON value of a run record for the store."""
    return {**record._asdict(), "state": record.state.value}


def decode_run_record(value: Any) -> Result[RunRecord, str]:  # noqa: ANN401
    """Decodes the result of `encode_run_record`."""
    try:
        return Ok(
            RunRecord(
                token=str(value["token"]),
                body_digest=str(value["body_digest"]),
                state=RunState(value["state"]),
                created_at_s=float(value["created_at_s"]),
                result_json=str(value["result_json"]),
            )
        )
    except DECODE_ERRORS as error:
        return Error(f"not a run record: {error!r}")
