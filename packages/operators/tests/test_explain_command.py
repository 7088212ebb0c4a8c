"""The command `explain` on the log files of several nodes."""

import json
import pathlib

import pytest
from expression import Result

from mulberrybay_operators.command_line import Explain
from mulberrybay_operators.explain_command import explain


def make_line(
    time_s: float, logger: str, message: str, **fields: object
) -> str:
    second = int(time_s)
    millisecond = round((time_s - second) * 1000)
    at = f"2026-05-04T18:11:{second:02}.{millisecond:03}000+00:00"
    document = {"at": at, "logger": logger, "message": message, **fields}
    return json.dumps(document) + "\n"


FAILED_REQUEST_LINE = make_line(
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
    """Writes the logs of two nodes, of which only the first has id-7."""
    first, second = tmp_path / "node-1.log", tmp_path / "node-2.log"
    first.write_text(
        make_line(5.0, "store", "the store fails", kind="servers")
        + make_line(25.0, "beliefs", "backend server removed", server="i-1")
        + make_line(26.0, "beliefs", "backend server removed", server="i-2")
        + make_line(27.0, "store", "the store answers again", kind="servers")
        + make_line(29.0, "requests", "whole", request_id="id-6")
        + "not a log line\n{broken\n"
        + f"  30.1 node-1 {FAILED_REQUEST_LINE}"
        + make_line(45.0, "node", "stopping"),
        encoding="utf-8",
    )
    second.write_text(make_line(26.5, "node", "started"), encoding="utf-8")
    return [first, second]


def test_related_lines_are_sorted_and_unrelated_ones_left_out(
    logs: list[pathlib.Path],
) -> None:
    """Only lines that concern the request may appear, in order of time.

    The logs also have invalid lines, another request, another backend server,
    lines outside the time window and a node without the request.
    """
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


def test_missing_log_file_is_an_error(tmp_path: pathlib.Path) -> None:
    assert explain(Explain("id-7", [tmp_path / "none.log"])).is_error()


def test_lines_of_several_nodes_in_one_file_are_told_apart(
    tmp_path: pathlib.Path,
) -> None:
    """A log collector writes the name of the node before each line."""
    path = tmp_path / "all.log"
    path.write_text(
        " 29.0 node-1 "
        + make_line(29.0, "store", "the store fails", kind="servers")
        + " 29.5 node-2 "
        + make_line(29.5, "node", "started")
        + f" 30.0 node-1 {FAILED_REQUEST_LINE}",
        encoding="utf-8",
    )

    match explain(Explain("id-7", [path])):
        case Result(tag="ok", ok=output):
            sources = [entry["source"] for entry in output.document]
            messages = [entry["message"] for entry in output.document]
            assert sources == ["node-1", "node-1"]
            assert messages == ["the store fails", "failed"]
        case Result(error=failure):
            pytest.fail(failure.detail)


def test_crashes_that_condemned_a_request_are_shown_from_all_nodes(
    tmp_path: pathlib.Path,
) -> None:
    first, second = tmp_path / "node-1.log", tmp_path / "node-2.log"
    first.write_text(
        make_line(44.0, "beliefs", "request suspected", identity="cd")
        + make_line(
            45.0, "requests", "refused", request_id="id-9", identity="ab"
        ),
        encoding="utf-8",
    )
    second.write_text(
        make_line(
            3.0,
            "beliefs",
            "backend server crashed",
            server="i-1",
            request_id="id-2",
            identity="ab",
        )
        + make_line(3.1, "beliefs", "request condemned", identity="ab")
        + make_line(
            40.0, "requests", "refused", request_id="id-3", identity="ab"
        ),
        encoding="utf-8",
    )

    match explain(Explain("id-9", [first, second])):
        case Result(tag="ok", ok=output):
            assert [
                (entry["source"], entry["message"]) for entry in output.document
            ] == [
                ("node-2", "backend server crashed"),
                ("node-2", "request condemned"),
                ("node-1", "refused"),
            ]
        case Result(error=failure):
            pytest.fail(failure.detail)
