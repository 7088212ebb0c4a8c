"""Encodes and decodes a node's service-level counts as JSON."""

from typing import Any, Final

from expression import Error, Ok, Result

from mulberrybay_core.burn import (
    LONG_WINDOW_S,
    SERIES_COUNT,
    SERIES_STEP_S,
    SHORT_WINDOW_S,
    BurnCounts,
    ClassBurn,
    Contributor,
)
from mulberrybay_core.configuration import Targets
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.operator_messages import NodeBurn

# Counts of nodes can be added only if they cover the same time windows.
WINDOWS: Final = {
    "short_window_s": SHORT_WINDOW_S,
    "long_window_s": LONG_WINDOW_S,
    "series_step_s": SERIES_STEP_S,
}


def encode_node_burn(burn: NodeBurn) -> dict[str, Any]:
    """Returns a node's counts as JSON."""
    return {
        "node_id": burn.node_id,
        "uptime_s": round(burn.uptime_s, 1),
        "revision": burn.revision,
        **WINDOWS,
        "classes": [_encode_class(item) for item in burn.classes],
    }


def _encode_class(item: ClassBurn) -> dict[str, Any]:
    return {
        "name": item.name,
        "targets": item.targets._asdict(),
        "short": item.short._asdict(),
        "long": item.long._asdict(),
        "since_start": item.since_start._asdict(),
        # Encoded by column, not by step: most steps contain only zeros.
        "series": {
            key: [getattr(step, key) for step in item.series]
            for key in BurnCounts._fields
        },
        "contributors": [x._asdict() for x in item.contributors],
    }


def decode_node_burn(value: Any) -> Result[NodeBurn, str]:  # noqa: ANN401
    """Parses the result of `encode_node_burn`; the error is a text."""
    try:
        windows = {key: float(value[key]) for key in WINDOWS}
        if windows != WINDOWS:
            return Error(f"counts over other time windows: {windows}")
        return Ok(
            NodeBurn(
                node_id=str(value["node_id"]),
                uptime_s=float(value["uptime_s"]),
                revision=int(value["revision"]),
                classes=tuple(_decode_class(x) for x in value["classes"]),
            )
        )
    except DECODE_ERRORS as error:
        return Error(f"invalid service-level counts: {error!r}")


def _decode_class(value: Any) -> ClassBurn:  # noqa: ANN401
    columns = [value["series"][key] for key in BurnCounts._fields]
    lengths = {len(column) for column in columns}
    if lengths != {SERIES_COUNT}:
        raise ValueError(f"series with {lengths} steps")
    return ClassBurn(
        name=str(value["name"]),
        targets=Targets(**value["targets"]),
        short=BurnCounts(**value["short"]),
        long=BurnCounts(**value["long"]),
        since_start=BurnCounts(**value["since_start"]),
        series=tuple(BurnCounts(*x) for x in zip(*columns, strict=True)),
        contributors=tuple(Contributor(**x) for x in value["contributors"]),
    )
