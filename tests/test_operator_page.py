"""Runs every command of docs/OPERATORS.md as shown, in the page's order."""

import os
import re
import subprocess
import sys
from pathlib import Path

from mulberrybay_testing.deployment import Deployment

ROOT = Path(__file__).parents[1]
CODE_BLOCK = re.compile(r"^```(\w+)\n(.*?)^```", re.MULTILINE | re.DOTALL)
EXIT_CODE_COMMENT = re.compile(r"# exit code (\d)$")
COMMAND_TIMEOUT_S = 30


def test_every_command_exits_as_documented(tmp_path: Path) -> None:
    page = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")
    blocks = CODE_BLOCK.findall(page)
    (settings,) = [text for language, text in blocks if language == "toml"]
    lines = [
        line
        for language, text in blocks
        if language == "sh"
        for line in text.splitlines()
    ]
    (tmp_path / "node.toml").write_text(settings)
    (tmp_path / "packages").symlink_to(ROOT / "packages")
    with Deployment(tmp_path / "deployment") as deployment:
        ports = [node.operator_port for node in deployment.nodes]
        program_folder = str(Path(sys.executable).parent)
        environment = {
            **os.environ,
            "PATH": f"{program_folder}:{os.environ['PATH']}",
            "MULBERRYBAY_NODES": ",".join(
                f"127.0.0.1:{port}" for port in ports
            ),
            "MULBERRYBAY_TOKEN": "test-token",
        }
        for line in lines:
            completed = subprocess.run(
                ["bash", "-c", line],
                # Scripts are part of the checkout. Other commands run in a
                # temporary folder, so that their files are written there.
                cwd=ROOT if line.startswith("scripts/") else tmp_path,
                env=environment,
                capture_output=True,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
                check=False,
            )
            exit_code_match = EXIT_CODE_COMMENT.search(line)
            expected = int(exit_code_match[1]) if exit_code_match else 0
            details = f"{line}\n{completed.stdout}{completed.stderr}"
            assert completed.returncode == expected, details
        (revision,) = {
            deployment.status(node)["revision"] for node in deployment.nodes
        }
    assert len(lines) > 25
    assert revision == 6
    assert (tmp_path / "burn.html").stat().st_size > 10_000
