"""The demo, as a newcomer runs it."""

import pathlib
import subprocess

DEMO_LIMIT_S = 60.0
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
