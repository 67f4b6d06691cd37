"""Load balancing for expert-parallel model groups.

The exported classes can be used without the daemons: they open no sockets,
start no threads and take the current time as an argument.
"""

import importlib
from typing import Any

__all__ = (
    'Admission',
    'ConfigurationStateMachine',
    'KeyTable',
    'Lease',
    'LeaseStateMachine',
    'MapChange',
    'PrimroseyokeError',
    'RankMapSelector',
    'RetryBudget',
    'Router',
    'SuspectTable',
    'Verdict',
)

__version__ = '0.1.0'

# Modules are imported on first use, so that each daemon loads only what it
# needs.
_MODULES = (
    ('Admission', 'admission'),
    ('ConfigurationStateMachine', 'configuration'),
    ('KeyTable', 'idempotency_keys'),
    ('Lease', 'leases'),
    ('LeaseStateMachine', 'leases'),
    ('MapChange', 'expert_maps'),
    ('PrimroseyokeError', 'exceptions'),
    ('RankMapSelector', 'expert_maps'),
    ('RetryBudget', 'retries'),
    ('Router', 'routing'),
    ('SuspectTable', 'suspects'),
    ('Verdict', 'verdicts'),
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 - import on first use
    module = dict(_MODULES).get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(importlib.import_module(f'.{module}', __name__), name)
