"""Tests of the two log formats."""

import json

import pytest

from mulberrybay_runtime.logs import StructuredLog, make_log_handler


@pytest.mark.parametrize(("log_level", "count"), [("info", 2), ("warning", 1)])
def test_json_lines_contain_level_step_and_peer(
    capsys: pytest.CaptureFixture[str], log_level: str, count: int
) -> None:
    log = StructuredLog("node")
    with make_log_handler("json", log_level).applicationbound():
        log.info("lease won", step="membership", peer="")
        log.warning("peer lost", step="membership", peer="node-2")
    lines = [json.loads(x) for x in capsys.readouterr().err.splitlines()]
    assert len(lines) == count
    assert lines[-1]["message"] == "peer lost"
    assert lines[-1]["level"] == "warning"
    assert lines[-1]["step"] == "membership"
    assert lines[-1]["peer"] == "node-2"
    assert "at" in lines[-1]


def test_console_line_is_readable_text(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with make_log_handler("console", "info").applicationbound():
        StructuredLog("node").info("epoch begun", step="membership", peer="")
    line = capsys.readouterr().err
    assert line.rstrip().endswith("info    epoch begun  step=membership")
