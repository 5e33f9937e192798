"""Tests of the version of a service that the leader puts in force itself."""

from medlarhoist.core.resource import Service, key_of
from medlarhoist.core.state import Entry
from medlarhoist.source.current_version import _list_changes


def test_a_service_keeps_its_other_fields_when_its_version_is_learned():
    service = Service(name='s', slots=3, connections=7, cold_rate=4.5)
    entry = Entry(key=key_of(service), resource=service, version=1)
    _, change = _list_changes(entry, 'v1')
    assert change.resource == Service(
        name='s', current='v1', slots=3, connections=7, cold_rate=4.5
    )
