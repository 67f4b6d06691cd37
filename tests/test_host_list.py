"""The platform's list of hosts, with entries that are not valid."""

import json

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.host_list import decode_hosts

SOUND = {
    'name': 'e-1',
    'role': 'entry',
    'availability_zone': 'a',
    'address': '10.0.0.1:80',
}


@pytest.mark.parametrize(
    'odd',
    [
        {},
        17,
        {**SOUND, 'role': 'printer'},
        {**SOUND, 'name': None},
        {**SOUND, 'address': '10.0.0.1:70000'},
        {**SOUND, 'address': '10.0.0.1:-1'},
        {**SOUND, 'address': 'nowhere'},
    ],
    ids=str,
)
def test_odd_entry_does_not_hide_the_others(odd):
    """Guards against a list that is not followed because of one entry."""
    content = json.dumps({'hosts': [odd, SOUND]}).encode()
    assert [host.name for host in decode_hosts(content)] == ['e-1']


@pytest.mark.parametrize(
    'content',
    [b'', b'[]', b'{"hosts": 1}', b'{"hosts": ' + b'[' * 100_000],
    ids=lambda content: str(content)[:20],
)
def test_list_that_cannot_be_read_is_unavailable(content):
    with pytest.raises(ServiceUnavailable):
        decode_hosts(content)
