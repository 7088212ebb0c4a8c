"""The demo, as a newcomer runs it."""

import os
import pathlib
import re
import signal
import subprocess
import threading

DEMO_LIMIT_S = 60.0
EXPORT = re.compile(r"^export (\w+)=(\S+)$", re.MULTILINE)
ROOT = pathlib.Path(__file__).parents[1]


def test_demo_shows_the_whole_path() -> None:
    done = subprocess.run(
        [ROOT / "scripts" / "demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert "coverage 20 of 20 shards" in done.stdout
    assert "in force at all 3 nodes" in done.stdout
    assert "BUDGET SPENT" in done.stdout
    assert "took effect 1 time(s)" in done.stdout
    assert "backend servers of d2 got 0 new requests" in done.stdout


def test_demo_that_stays_takes_commands_until_the_signal() -> None:
    demo = subprocess.Popen(
        [ROOT / "scripts" / "demo", "--stay"],
        stdout=subprocess.PIPE,
        text=True,
        # Ctrl-C reaches the whole group, the nodes too.
        start_new_session=True,
    )
    guard = threading.Timer(DEMO_LIMIT_S, demo.kill)
    guard.start()
    try:
        assert demo.stdout is not None
        lines = []
        for line in demo.stdout:
            lines.append(line)
            if "until Ctrl-C" in line:
                break
        variables = dict(EXPORT.findall("".join(lines)))
        done = subprocess.run(
            [ROOT / ".venv" / "bin" / "mulberrybay", "status"],
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
            timeout=DEMO_LIMIT_S,
            check=False,
        )
        os.killpg(demo.pid, signal.SIGINT)
        code = demo.wait(DEMO_LIMIT_S)
    finally:
        guard.cancel()
        demo.kill()
    assert done.returncode == 0, done.stderr
    assert done.stdout.count("serving") == 3
    assert code == 0
