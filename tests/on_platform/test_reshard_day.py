"""A version that cuts the index anew is in force after a silence in time."""

import pathlib

import pytest
from reshard_day import SITES, play_day


# Watches that a silent store left unanswered held back the new shards.
@pytest.mark.parametrize("site_name", SITES)
def test_new_shards_serve_in_time_after_the_store_was_silent(
    tmp_path: pathlib.Path, site_name: str
) -> None:
    result = play_day(tmp_path, SITES[site_name], seed=0)

    assert result.problems == []
