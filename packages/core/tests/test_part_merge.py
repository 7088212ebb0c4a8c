"""An answer holds the greatest records of all parts, greatest first."""

from mulberrybay_core.part_merge import Part, merge_parts


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def test_greatest_records_of_all_parts_in_falling_order() -> None:
    parts = [
        Part("a", record(5) + record(900)),
        Part("b", record(70) + record(901) + record(1)),
    ]

    assert merge_parts(parts, 3) == record(901) + record(900) + record(70)


def test_equal_records_all_count() -> None:
    parts = [Part("a", record(9)), Part("b", record(9) + record(8))]

    assert merge_parts(parts, 3) == record(9) + record(9) + record(8)


def test_rest_shorter_than_a_record_is_left_out() -> None:
    parts = [Part("a", record(9) + b"\xff" * 15), Part("b", b"\xff")]

    assert merge_parts(parts, 10) == record(9)
