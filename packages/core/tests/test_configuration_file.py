"""Configuration files, and changes to the configuration."""

from pathlib import Path

import pytest

from mulberrybay_core.configuration import EMPTY_CONFIGURATION
from mulberrybay_core.configuration_change import (
    ChangeRequest,
    ReplaceClasses,
    SetDomainState,
    find_change,
    make_successor,
)
from mulberrybay_core.configuration_file import (
    encode_class_tables,
    format_configuration_file,
    parse_class_tables,
    parse_configuration_file,
)
from mulberrybay_core.documents import (
    decode_configuration,
    encode_configuration,
)

EXAMPLES = Path(__file__).parents[2] / "operators" / "examples"
VALID = """
[[class]]
name = "field-search"
allows_runs = false
lateness_ms = 60
lateness_percent = 99
coverage_percent = 99.5
extra_load_percent = 5
"""


@pytest.mark.parametrize("name", ["hardwell", "ikirezi"])
def test_examples_are_valid_and_round_trip(name: str) -> None:
    """Fails if an example or a codec drops or alters a class."""
    text = (EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")
    classes = parse_configuration_file(text).ok
    assert len(classes) == 4
    assert parse_class_tables(encode_class_tables(classes)).ok == classes
    written = format_configuration_file(classes)
    assert parse_configuration_file(written).ok == classes


@pytest.mark.parametrize(
    ("old", "new", "key", "detail"),
    [
        ("lateness_ms = 60", "lateness_ms = 0", "lateness_ms", "above 0"),
        ("lateness_ms = 60", "lateness_ms = true", "lateness_ms", "above 0"),
        ("lateness_ms = 60", "lateness_ms = nan", "lateness_ms", "above 0"),
        ("lateness_ms = 60", "", "lateness_ms", "missing"),
        ("= 99.5", "= 101", "coverage_percent", "up to 100"),
        ("= 5\n", "= -1\n", "extra_load_percent", "from 0"),
        ("false", '"no"', "allows_runs", "true or false"),
        ("field-search", "Field Search", "name", "a-z"),
        ("= 5\n", "= 5\nweight = 3\n", "weight", "unknown key"),
        ("= 5\n", "= 5\n[server]\nip = 1\n", "server", "unknown key"),
        ("= 5\n", f"= 5\n{VALID}", "name", "another class"),
        (VALID, "", "class", "one or more tables"),
        ("= 60", "= ", "", "line 5"),
    ],
)
def test_each_problem_names_its_key(
    old: str, new: str, key: str, detail: str
) -> None:
    """Fails if an invalid file is accepted or its error lacks the key.

    Each case is a valid file with one mistake.
    """
    problems = parse_configuration_file(VALID.replace(old, new)).error
    assert len(problems) == 1
    assert problems[0].key.endswith(key)
    assert detail in problems[0].detail


def test_all_problems_are_reported_at_once() -> None:
    """Fails if parsing stops at the first of several mistakes."""
    text = VALID.replace("60", "-1").replace("99\n", "0\n") + "colour = 1\n"
    problems = parse_configuration_file(text).error
    assert {problem.key.rpartition(".")[2] for problem in problems} == {
        "lateness_ms",
        "lateness_percent",
        "colour",
    }


def test_change_edits_only_its_part_and_is_found_by_id() -> None:
    """Fails if a change undoes others, or if a retry isn't recognized.

    Applies more changes than the configuration lists: those that it lists are
    found with their revisions, and older ones are not found.
    """
    classes = parse_configuration_file(VALID).ok
    edits = [SetDomainState("d1", True), ReplaceClasses(classes)]
    edits += [SetDomainState("d2", True)] * 100
    current = EMPTY_CONFIGURATION
    for number, edit in enumerate(edits, start=1):
        change = ChangeRequest(f"change-{number}", "amina", None, edit)
        current = make_successor(current, change, 1000.0)
    stored = decode_configuration(encode_configuration(current)).ok
    assert stored == current
    assert (stored.revision, stored.classes) == (102, classes)
    assert stored.out_domains == {"d1", "d2"}
    assert find_change(stored, "change-102") == 102
    assert find_change(stored, "change-60") == 60
    assert find_change(stored, "change-7") is None
    assert find_change(EMPTY_CONFIGURATION, "") is None
