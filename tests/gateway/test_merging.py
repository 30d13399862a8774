"""Tests of merging the records of shards."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyrouter.gateway.merging import (
    drop_useless_records,
    merge_greatest,
    split_records,
)

records = st.binary(min_size=16, max_size=16)


class TestMergeGreatest:
    def test_greatest_first(self):
        parts = [b"a" * 16 + b"c" * 16, b"b" * 16]
        assert merge_greatest(parts, 2) == b"c" * 16 + b"b" * 16

    def test_equal_records_are_all_retained(self):
        assert merge_greatest([b"a" * 16, b"a" * 16], 5) == b"a" * 32

    def test_an_incomplete_record_is_dropped(self):
        assert split_records(b"a" * 20) == [b"a" * 16]

    @settings(derandomize=True)
    @given(st.lists(st.lists(records), max_size=6), st.integers(1, 8))
    def test_merging_merged_parts_changes_nothing(self, parts, count):
        # A relay merges its part first; the final result must be the same.
        bodies = [b"".join(part) for part in parts]
        head, tail = bodies[:3], bodies[3:]
        twice = merge_greatest([merge_greatest(head, count), *tail], count)
        assert twice == merge_greatest(bodies, count)
        every = sorted((r for part in parts for r in part), reverse=True)
        assert twice == b"".join(every[:count])


class TestDropUselessRecords:
    """Guard against results that change because parts are shortened early."""

    @settings(derandomize=True)
    @given(st.lists(st.binary(max_size=100), max_size=4), st.integers(0, 4))
    def test_the_merged_result_is_the_same(self, parts, count):
        shortened = [drop_useless_records(part, count) for part in parts]
        assert merge_greatest(shortened, count) == merge_greatest(parts, count)
        assert all(len(part) <= count * 16 for part in shortened)
