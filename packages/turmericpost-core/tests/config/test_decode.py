"""Document decoding: each error has a kind and the location of its cause."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.samples import document
from turmericpost_core.config.decode import (
    DocumentFormat,
    DocumentText,
    decode_document,
    document_from_mapping,
    document_to_mapping,
)
from turmericpost_core.config.errors import DocumentErrorKind

_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def _errors(mapping: object) -> dict[str, DocumentErrorKind]:
    found = document_from_mapping(mapping).unwrap_err()
    return {error.location: error.kind for error in found}


class DecodeTest(unittest.TestCase):
    def test_document_survives_encoding_and_decoding(self) -> None:
        mapping = json.loads(json.dumps(document_to_mapping(document())))
        self.assertEqual(document_from_mapping(mapping).unwrap(), document())

    def test_each_error_names_its_location(self) -> None:
        mapping = document_to_mapping(document())
        mapping['services'][0]['slots'] = 0
        mapping['extra'] = 1
        mapping['backend_servers'][1]['port'] = 'x'
        errors = _errors(mapping)
        self.assertEqual(
            set(errors),
            {'services.0.slots', 'extra', 'backend_servers.1.port'},
        )

    def test_unknown_references_and_empty_services_are_errors(self) -> None:
        mapping = document_to_mapping(document())
        mapping['backend_servers'][0]['failure_domain'] = 'nowhere'
        mapping['client_accounts'][0]['home_regions'] = ['mars']
        mapping['services'].append({'name': 'verses', 'slots': 1})
        self.assertEqual(
            _errors(mapping),
            {
                'backend_servers.0.failure_domain': (
                    DocumentErrorKind.UNKNOWN_REFERENCE
                ),
                'client_accounts.0.home_regions': (
                    DocumentErrorKind.UNKNOWN_REFERENCE
                ),
                'services.1': DocumentErrorKind.EMPTY_SERVICE,
            },
        )

    def test_departure_order_and_time_zone_are_checked(self) -> None:
        mapping = document_to_mapping(document())
        mapping['failure_domains'][0]['departures'] = [
            {
                'leaves_local': '2026-12-05T10:00:00',
                'returns_local': '2026-12-05T09:00:00',
                'time_zone': 'Africa/Nowhere',
            },
        ]
        location = 'failure_domains.0.departures.0'
        self.assertEqual(
            _errors(mapping),
            {
                location: DocumentErrorKind.ORDER,
                f'{location}.time_zone': DocumentErrorKind.TIME_ZONE,
            },
        )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.text() | _JSON_VALUES.map(json.dumps))
    def test_arbitrary_text_gives_typed_errors(self, text: str) -> None:
        for text_format in DocumentFormat:
            decoded = decode_document(DocumentText(text, text_format))
            self.assertTrue(decoded.is_err())
            self.assertTrue(all(map(str, decoded.unwrap_err())))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.sampled_from(('services', 'selectors', 'limits', 'backend_servers')),
        _JSON_VALUES,
    )
    def test_arbitrary_document_part_never_raises(
        self, part: str, replacement: object
    ) -> None:
        mapping = document_to_mapping(document())
        mapping[part] = replacement
        decoded = document_from_mapping(mapping)
        self.assertTrue(decoded.is_ok() or decoded.unwrap_err())


if __name__ == '__main__':
    unittest.main()
