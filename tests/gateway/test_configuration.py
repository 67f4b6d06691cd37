"""Lookup of routes and clients in a configuration."""

from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Client,
    Execution,
    Route,
    Target,
)


def make_route(prefix: str, **overrides: object) -> Route:
    fields: dict[str, object] = {
        'name': prefix,
        'host': 'shop.example',
        'prefix': prefix,
        'execution': Execution.IDEMPOTENT,
        'targets': (Target('app', 1),),
        'timeout': 1.0,
        'objective': 0.2,
    }
    return Route(**{**fields, **overrides})


def make_configuration(
    *routes: Route, clients: tuple[Client, ...] = ()
) -> Configuration:
    return Configuration(1, routes, {}, clients, CallerLimits())


def test_longest_prefix_is_matched() -> None:
    configuration = make_configuration(make_route('/a/'), make_route('/a/b/'))
    assert configuration.match('shop.example', '/a/b/c').name == '/a/b/'
    assert configuration.match('shop.example', '/a/c').name == '/a/'


def test_other_hosts_and_paths_match_no_route() -> None:
    configuration = make_configuration(make_route('/a/'))
    assert configuration.match('other.example', '/a/') is None
    assert configuration.match('shop.example', '/b/') is None
    assert configuration.match('shop.example', '/a') is None


def test_client_is_found_by_any_of_its_keys() -> None:
    clients = (
        Client('one', frozenset({'k1', 'k2'})),
        Client('two', frozenset({'k3'})),
    )
    configuration = make_configuration(clients=clients)
    assert configuration.client_by_key('k2').name == 'one'
    assert configuration.client_by_key('k4') is None
    assert configuration.requires_key


def test_an_empty_key_is_the_key_of_no_client() -> None:
    """Guards against a request without a key that passes for a client's."""
    clients = (Client('one', frozenset({''})),)
    configuration = make_configuration(clients=clients)
    assert configuration.client_by_key('') is None
    assert configuration.requires_key


def test_only_resumable_streams_are_retryable() -> None:
    stream = {'execution': Execution.STREAM}
    assert make_route('/a/', **stream, resumable=True).retryable
    assert not make_route('/a/', **stream).retryable
    assert not make_route(
        '/a/',
        execution=Execution.NON_IDEMPOTENT,
        resumable=True,
    ).retryable
