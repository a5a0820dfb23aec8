"""Applying records: conflicting changes, duplicates, rising revisions."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.samples import NOW_UTC, backend, document
from turmericpost_core.config.apply_records import (
    ChangeVerdict,
    Configuration,
    apply_record,
    find_change,
    newer_configuration,
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


def _apply_all(records: list[ConfigurationRecord]) -> Configuration:
    configuration = Configuration()
    for record in records:
        configuration = apply_record(configuration, record)
    return configuration


_RECORDS = st.lists(
    st.builds(
        _record,
        st.integers(0, 8),
        st.integers(0, 4),
        st.sampled_from(RecordKind),
    ),
    max_size=12,
)


class ApplyRecordsTest(unittest.TestCase):
    def test_first_of_two_conflicting_changes_is_accepted(self) -> None:
        configuration = _apply_all(
            [_record(0, 0), _record(1, 1), _record(2, 1)]
        )
        verdicts = [change.verdict for change in configuration.history]
        self.assertEqual(configuration.revision, 2)
        self.assertEqual(
            verdicts,
            [
                ChangeVerdict.ACCEPTED,
                ChangeVerdict.ACCEPTED,
                ChangeVerdict.CONFLICT,
            ],
        )

    def test_duplicate_change_is_applied_once(self) -> None:
        once = _apply_all([_record(0, 0), _record(1, 1)])
        twice = _apply_all([_record(0, 0), _record(1, 1), _record(1, 1)])
        self.assertEqual(once, twice)

    def test_invalid_document_is_recorded_but_not_applied(self) -> None:
        broken = ConfigurationRecord(
            RecordKind.CHANGE, 0, 'c9', 'amal', NOW_UTC, {}
        )
        configuration = _apply_all([broken])
        self.assertEqual(configuration.revision, 0)
        processed = find_change(configuration, 'c9')
        self.assertIsNotNone(processed)
        self.assertEqual(processed and processed.verdict, ChangeVerdict.INVALID)

    def test_snapshot_sets_revision_of_empty_configuration(self) -> None:
        records = [_record(1, 7, RecordKind.SNAPSHOT), _record(2, 7)]
        self.assertEqual(_apply_all(records).revision, 8)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_RECORDS)
    def test_revision_never_decreases(
        self,
        records: list[ConfigurationRecord],
    ) -> None:
        configuration = Configuration()
        for record in records:
            after = apply_record(configuration, record)
            self.assertGreaterEqual(after.revision, configuration.revision)
            if after.revision == configuration.revision:
                self.assertEqual(after.document, configuration.document)
            self.assertIs(newer_configuration(after, configuration), after)
            configuration = after

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(_RECORDS, st.integers(0, 12))
    def test_rereading_records_changes_nothing(
        self,
        records: list[ConfigurationRecord],
        reread_from: int,
    ) -> None:
        first = _apply_all(records)
        second = first
        for record in records[reread_from:]:
            second = apply_record(second, record)
        if all(one.kind is RecordKind.CHANGE for one in records):
            self.assertEqual(second.revision, first.revision)
        self.assertGreaterEqual(second.revision, first.revision)

    def test_record_survives_encoding_and_decoding(self) -> None:
        record = _record(3, 2)
        self.assertEqual(decode_record(encode_record(record)).unwrap(), record)
        self.assertTrue(decode_record(b'{').is_err())


if __name__ == '__main__':
    unittest.main()
