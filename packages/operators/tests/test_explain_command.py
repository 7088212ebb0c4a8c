"""A request's story is put together from the logs of several nodes."""

import json
import pathlib

import pytest
from expression import Result

from mulberrybay_operators.command_line import Explain
from mulberrybay_operators.explain_command import explain


def line(second: float, logger: str, message: str, **fields: object) -> str:
    whole = int(second)
    part = round((second - whole) * 1000)
    at = f"2026-05-04T18:11:{whole:02}.{part:03}000+00:00"
    document = {"at": at, "logger": logger, "message": message, **fields}
    return json.dumps(document) + "\n"


FAILED = line(
    30.0,
    "requests",
    "failed",
    request_id="id-7",
    service="records",
    sent_to=["i-1"],
    failures=["i-1: the peer closed the connection"],
)


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[pathlib.Path]:
    first, second = tmp_path / "node-1.log", tmp_path / "node-2.log"
    first.write_text(
        line(5.0, "store", "the store fails", kind="servers")
        + line(25.0, "beliefs", "backend server removed", server="i-1")
        + line(26.0, "beliefs", "backend server removed", server="i-2")
        + line(27.0, "store", "the store answers again", kind="servers")
        + line(29.0, "requests", "whole", request_id="id-6")
        + "a line that is none\n{broken\n"
        + f"  30.1 node-1 {FAILED}"
        + line(45.0, "node", "stopping"),
        encoding="utf-8",
    )
    second.write_text(line(26.5, "node", "started"), encoding="utf-8")
    return [first, second]


def test_story_is_in_order_and_leaves_out_what_does_not_matter(
    logs: list[pathlib.Path],
) -> None:
    match explain(Explain("id-7", logs)):
        case Result(tag="ok", ok=output):
            messages = [entry["message"] for entry in output.document]
            assert messages == [
                "backend server removed",
                "the store answers again",
                "failed",
            ]
            assert output.document[0]["server"] == "i-1"
            assert "the peer closed the connection" in output.text
            assert len(output.text.splitlines()) == 3
        case Result(error=failure):
            pytest.fail(failure.detail)


def test_unknown_request_is_an_error(logs: list[pathlib.Path]) -> None:
    result = explain(Explain("id-8", logs))

    assert result.is_error()
    assert "id-8" in result.error.detail


def test_file_that_is_not_there_is_an_error(tmp_path: pathlib.Path) -> None:
    assert explain(Explain("id-7", [tmp_path / "none.log"])).is_error()
