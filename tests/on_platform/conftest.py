"""Fixtures for tests of nodes on the platform's protocol."""

import pathlib
import sys
from collections.abc import Iterator

import pytest

sys.path.insert(0, str(pathlib.Path(__file__).parent))
sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "platform"))

from deployment import Deployment


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    """Yields a deployment with stand-ins but no nodes yet."""
    with Deployment(tmp_path) as deployment:
        yield deployment
