"""Runs every command of docs/OPERATORS.md as shown, in its order."""

import os
import re
import subprocess
import sys
from pathlib import Path

from mulberrybay_testing.deployment import Deployment

ROOT = Path(__file__).parents[1]
BLOCK = re.compile(r"^```(\w+)\n(.*?)^```", re.MULTILINE | re.DOTALL)
EXIT_CODE = re.compile(r"# exit code (\d)$")
TIMEOUT_S = 30


def test_every_command_ends_as_the_page_says(tmp_path: Path) -> None:
    page = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")
    blocks = BLOCK.findall(page)
    (settings,) = [text for kind, text in blocks if kind == "toml"]
    lines = [
        line
        for kind, text in blocks
        if kind == "sh"
        for line in text.splitlines()
    ]
    (tmp_path / "node.toml").write_text(settings)
    (tmp_path / "packages").symlink_to(ROOT / "packages")
    with Deployment(tmp_path / "deployment") as deployment:
        ports = [node.operator_port for node in deployment.nodes]
        programs = str(Path(sys.executable).parent)
        environment = {
            **os.environ,
            "PATH": f"{programs}:{os.environ['PATH']}",
            "MULBERRYBAY_NODES": ",".join(f"127.0.0.1:{x}" for x in ports),
            "MULBERRYBAY_TOKEN": "test-token",
        }
        for line in lines:
            done = subprocess.run(
                ["bash", "-c", line],
                # Scripts belong to the checkout; files that commands write
                # do not.
                cwd=ROOT if line.startswith("scripts/") else tmp_path,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
            found = EXIT_CODE.search(line)
            expected = int(found[1]) if found else 0
            told = f"{line}\n{done.stdout}{done.stderr}"
            assert done.returncode == expected, told
        (node,) = {deployment.status(x)["revision"] for x in deployment.nodes}
    assert len(lines) > 25
    assert node == 6
    assert (tmp_path / "burn.html").stat().st_size > 10_000
