"""Messages of other versions."""

import cbor2
import pytest

from primroseyoke.messages import Load, LoadReport, decode

LOAD = {'running': 1, 'waiting': 2, 'limit': 3, 'accepting': False}


@pytest.mark.parametrize('other_fields', [{}, {'unknown': 1}])
def test_load_of_another_version_is_read(other_fields):
    """Guards against links that fail while hosts have different versions."""
    frame = cbor2.dumps(('LoadReport', {**LOAD, **other_fields}))
    assert decode(frame) == LoadReport(Load(1, 2, 3, accepting=False))
