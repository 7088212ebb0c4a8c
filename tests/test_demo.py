"""Runs scripts/demo as the README describes."""

import os
import pathlib
import re
import signal
import subprocess
import threading

DEMO_TIMEOUT_S = 60.0
EXPORT_LINE = re.compile(r"^export (\w+)=(\S+)$", re.MULTILINE)
ROOT = pathlib.Path(__file__).parents[1]


def test_demo_succeeds_and_prints_each_result() -> None:
    completed = subprocess.run(
        [ROOT / "scripts" / "demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert "coverage 20 of 20 shards" in completed.stdout
    assert "in force at all 3 nodes" in completed.stdout
    assert "BUDGET SPENT" in completed.stdout
    assert "took effect 1 time(s)" in completed.stdout
    assert "backend servers of d2 got 0 new requests" in completed.stdout


def test_demo_with_stay_accepts_commands_until_the_signal() -> None:
    demo = subprocess.Popen(
        [ROOT / "scripts" / "demo", "--stay"],
        stdout=subprocess.PIPE,
        text=True,
        # The demo gets a process group of its own. The signal is sent to all
        # of it, including the nodes, as Ctrl-C in a terminal would be.
        start_new_session=True,
    )
    kill_timer = threading.Timer(DEMO_TIMEOUT_S, demo.kill)
    kill_timer.start()
    try:
        assert demo.stdout is not None
        lines = []
        for line in demo.stdout:
            lines.append(line)
            if "until Ctrl-C" in line:
                break
        variables = dict(EXPORT_LINE.findall("".join(lines)))
        completed = subprocess.run(
            [ROOT / ".venv" / "bin" / "mulberrybay", "status"],
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
            timeout=DEMO_TIMEOUT_S,
            check=False,
        )
        os.killpg(demo.pid, signal.SIGINT)
        exit_code = demo.wait(DEMO_TIMEOUT_S)
    finally:
        kill_timer.cancel()
        demo.kill()
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.count("serving") == 3
    assert exit_code == 0
