"""Settings from the file, from environment variables and from flags."""

import subprocess
import sys
from pathlib import Path

import pytest

from mulberrybay_daemon.settings_sources import load_settings

VALID = """
node_id = "node-1"
failure_domain = "d1"
caller_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
operator_address = "127.0.0.1:8003"
platform_address = "127.0.0.1:8004"
[admission]
max_query_count = 9
"""


def test_flags_override_variables_which_override_the_file(
    tmp_path: Path,
) -> None:
    """Guards against a wrong order of the sources.

    Variables that are not settings must be ignored, and settings of one call
    must not appear in the next.
    """
    path = tmp_path / "node.toml"
    path.write_text(VALID)
    environment = {
        "MULBERRYBAY_NODE_ID": "node-2",
        "MULBERRYBAY_LOG_LEVEL": "debug",
        "MULBERRYBAY_SEED_ADDRESSES": "127.0.0.1:1,127.0.0.1:2",
        "MULBERRYBAY_MEMBERSHIP_LEASE_S": "3.5",
        "MULBERRYBAY_ADMISSION_MAX_QUERY_COUNT": "12",
        "MULBERRYBAY_NODES": "not a setting",
    }
    flags = {"node_id": "node-3", "log_form": "console", "log_level": None}
    settings = load_settings(path, flags, environment).ok
    assert settings.node_id == "node-3"
    assert (settings.log_level, settings.log_form) == ("debug", "console")
    assert [x.port for x in settings.seed_addresses] == [1, 2]
    assert settings.membership.lease_s == 3.5
    assert settings.admission.max_query_count == 12
    assert load_settings(path, {}, {}).ok.admission.max_query_count == 9


@pytest.mark.parametrize(
    ("old", "new", "environment", "lines"),
    [
        ('"node-1"', '""', {}, ["node_id: must be a non-empty string"]),
        ('failure_domain = "d1"', "", {}, ["failure_domain: missing"]),
        (":8001", "", {}, ["caller_address: '127.0.0.1' is not HOST:PORT"]),
        ("127.0.0.1:8001", "vm-1:8001", {}, ["caller_address: 'vm-1' does"]),
        (":8002", ":8001", {}, ["peer_address: is the same as caller_addre"]),
        ("= 9", "= 9\nweight = 1", {}, ["admission.weight: unknown key; kno"]),
        ("= 9", "= 0.5", {}, ["admission.max_query_count: must be a whole"]),
        ("= 9", "= 9\n[policy]\narm = 1", {}, ["policy.arm: must be one of"]),
        ("= 9", "= 9\n[membership]\nlease_s = 0.5", {}, ["membership.lease_"]),
        ("node_id", "nodeid", {}, ["nodeid: unknown key", "node_id: missing"]),
        (
            "",
            "",
            {"MULBERRYBAY_LOG_LEVEL": "loud"},
            ["log_level (MULBERRYBAY_LOG_LEVEL): must be one of debug, info"],
        ),
        (
            "",
            "",
            {"MULBERRYBAY_PLATFORM_TIMEOUT_S": "inf"},
            ["platform_timeout_s (MULBERRYBAY_PLATFORM_TIMEOUT_S): must be"],
        ),
        ('= "d1"', "= d1", {}, ["node.toml:3:18: not TOML: Invalid value"]),
    ],
)
def test_each_problem_names_its_key_and_its_source(
    tmp_path: Path,
    old: str,
    new: str,
    environment: dict[str, str],
    lines: list[str],
) -> None:
    """Guards against errors that do not say what to correct and where."""
    path = tmp_path / "node.toml"
    path.write_text(VALID.replace(old, new, 1) if old else VALID)
    problems = load_settings(path, {}, environment).error
    texts = [str(x).replace(f"{tmp_path}/", "") for x in problems]
    assert len(texts) == len(lines)
    for text, line in zip(texts, lines, strict=True):
        assert text.startswith(line)


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["--check"], 0, "valid settings of node-1"),
        (["--check", "--node-id", "node-7"], 0, "valid settings of node-7"),
        (["--check", "--log-form", "xml"], 2, "log_form (--log-form): must"),
        (["--bogus"], 2, "--bogus"),
    ],
)
def test_check_reports_problems_without_starting_the_node(
    tmp_path: Path, arguments: list[str], code: int, text: str
) -> None:
    """Guards against a --check that starts a node or accepts bad settings."""
    path = tmp_path / "node.toml"
    path.write_text(VALID)
    program = Path(sys.executable).with_name("mulberrybayd")
    done = subprocess.run(
        [str(program), str(path), *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == code
    assert text in done.stdout + done.stderr
