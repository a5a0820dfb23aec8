"""The fold: one winner, the same everywhere, and a revision that rises."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.samples import NOW_UTC, backend, document
from turmericpost_core.config.apply_records import (
    ChangeVerdict,
    Configuration,
    find_change,
    fold_record,
    newer_of,
)
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_core.config.records import (
    ConfigurationRecord,
    RecordKind,
    decode_record,
    encode_record,
)


def _record(
    change: int,
    base: int,
    kind: RecordKind = RecordKind.CHANGE,
) -> ConfigurationRecord:
    mapping = document_to_mapping(document(backend(change + 1)))
    return ConfigurationRecord(
        kind, base, f'c{change}', 'amal', NOW_UTC, mapping
    )


def _fold(records: list[ConfigurationRecord]) -> Configuration:
    folded = Configuration()
    for record in records:
        folded = fold_record(folded, record)
    return folded


_RECORDS = st.lists(
    st.builds(
        _record,
        st.integers(0, 8),
        st.integers(0, 4),
        st.sampled_from(RecordKind),
    ),
    max_size=12,
)


class FoldTest(unittest.TestCase):
    def test_of_racing_changes_the_first_wins(self) -> None:
        folded = _fold([_record(0, 0), _record(1, 1), _record(2, 1)])
        verdicts = [change.verdict for change in folded.history]
        self.assertEqual(folded.revision, 2)
        self.assertEqual(
            verdicts,
            [
                ChangeVerdict.ACCEPTED,
                ChangeVerdict.ACCEPTED,
                ChangeVerdict.CONFLICT,
            ],
        )

    def test_a_change_written_twice_counts_once(self) -> None:
        once = _fold([_record(0, 0), _record(1, 1)])
        twice = _fold([_record(0, 0), _record(1, 1), _record(1, 1)])
        self.assertEqual(once, twice)

    def test_an_invalid_document_is_judged_and_changes_nothing(self) -> None:
        broken = ConfigurationRecord(
            RecordKind.CHANGE, 0, 'c9', 'amal', NOW_UTC, {}
        )
        folded = _fold([broken])
        self.assertEqual(folded.revision, 0)
        judged = find_change(folded, 'c9')
        self.assertIsNotNone(judged)
        self.assertEqual(judged and judged.verdict, ChangeVerdict.INVALID)

    def test_a_snapshot_carries_a_fresh_fold_to_its_revision(self) -> None:
        records = [_record(1, 7, RecordKind.SNAPSHOT), _record(2, 7)]
        self.assertEqual(_fold(records).revision, 8)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_RECORDS)
    def test_a_revision_never_falls(
        self,
        records: list[ConfigurationRecord],
    ) -> None:
        folded = Configuration()
        for record in records:
            after = fold_record(folded, record)
            self.assertGreaterEqual(after.revision, folded.revision)
            if after.revision == folded.revision:
                self.assertEqual(after.document, folded.document)
            self.assertIs(newer_of(after, folded), after)
            folded = after

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(_RECORDS, st.integers(0, 12))
    def test_records_read_twice_change_nothing(
        self,
        records: list[ConfigurationRecord],
        again_from: int,
    ) -> None:
        first = _fold(records)
        second = first
        for record in records[again_from:]:
            second = fold_record(second, record)
        if all(one.kind is RecordKind.CHANGE for one in records):
            self.assertEqual(second.revision, first.revision)
        self.assertGreaterEqual(second.revision, first.revision)

    def test_records_survive_the_log(self) -> None:
        record = _record(3, 2)
        self.assertEqual(decode_record(encode_record(record)).unwrap(), record)
        self.assertTrue(decode_record(b'{').is_err())


if __name__ == '__main__':
    unittest.main()
