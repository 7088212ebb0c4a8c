"""Invalid settings and command lines: a clear error text and exit code 2."""

import pathlib
import subprocess
import sys

import pytest

VALID_SETTINGS = """
node_id = "n"
failure_domain = "d1"
caller_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
operator_address = "127.0.0.1:3"
platform_address = "127.0.0.1:4"
"""

INVALID_SETTINGS = {
    "not TOML": ("colour = = 1", ["node.toml:8:"]),
    "unknown key": ("colour = 1", ["colour", "failure_domain"]),
    "choice": ('log_form = "xml"', ["log_form", "json, console"]),
    "level": ("log_level = 3", ["log_level", "debug, info"]),
    "timeout": ("platform_timeout_s = -1", ["platform_timeout_s", "above 0"]),
    "seeds": ('seed_addresses = ["x"]', ["seed_addresses", "HOST:PORT"]),
    "section": ("membership = 1", ["membership", "table"]),
    "section key": (
        "[membership]\nlease_ms = 5",
        ["membership.lease_ms", "heartbeat_period_s", "lease_s"],
    ),
    "two at once": (
        'log_form = "xml"\nlog_level = "loud"',
        ["log_form", "log_level"],
    ),
}


def run_daemon(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs mulberrybayd until it exits."""
    program = pathlib.Path(sys.executable).with_name("mulberrybayd")
    return subprocess.run(
        [program, *arguments],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


def test_check_accepts_valid_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(VALID_SETTINGS, encoding="utf-8")
    assert run_daemon(str(path), "--check").returncode == 0


@pytest.mark.parametrize("name", INVALID_SETTINGS)
def test_error_names_the_invalid_key_and_the_allowed_values(
    tmp_path: pathlib.Path, name: str
) -> None:
    text, expected_texts = INVALID_SETTINGS[name]
    path = tmp_path / "node.toml"
    path.write_text(VALID_SETTINGS + text, encoding="utf-8")
    completed = run_daemon(str(path))
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr
    for expected_text in expected_texts:
        assert expected_text in completed.stderr


@pytest.mark.parametrize(
    "arguments", [["--colour"], [], ["missing.toml"], ["a", "b"]]
)
def test_invalid_command_line_exits_with_code_2(arguments: list[str]) -> None:
    completed = run_daemon(*arguments)
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr
    assert completed.stderr + completed.stdout
