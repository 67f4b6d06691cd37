"""Routes and clients of a configuration."""

from primroseyoke.gateway.catalogue import (
    CallerLimits,
    Catalogue,
    Client,
    Execution,
    Route,
    Target,
)


def make_route(prefix: str, **changed: object) -> Route:
    fields: dict[str, object] = {
        'name': prefix,
        'host': 'shop.example',
        'prefix': prefix,
        'execution': Execution.IDEMPOTENT,
        'targets': (Target('app', 1),),
        'timeout': 1.0,
        'objective': 0.2,
    }
    return Route(**{**fields, **changed})


def make_catalogue(
    *routes: Route, clients: tuple[Client, ...] = ()
) -> Catalogue:
    return Catalogue(1, routes, {}, clients, CallerLimits())


def test_the_longest_prefix_is_matched() -> None:
    catalogue = make_catalogue(make_route('/a/'), make_route('/a/b/'))
    assert catalogue.match('shop.example', '/a/b/c').name == '/a/b/'
    assert catalogue.match('shop.example', '/a/c').name == '/a/'


def test_other_hosts_and_paths_match_nothing() -> None:
    catalogue = make_catalogue(make_route('/a/'))
    assert catalogue.match('other.example', '/a/') is None
    assert catalogue.match('shop.example', '/b/') is None
    assert catalogue.match('shop.example', '/a') is None


def test_each_key_belongs_to_its_client() -> None:
    clients = (
        Client('one', frozenset({'k1', 'k2'})),
        Client('two', frozenset({'k3'})),
    )
    catalogue = make_catalogue(clients=clients)
    assert catalogue.client_with('k2').name == 'one'
    assert catalogue.client_with('k4') is None
    assert catalogue.requires_key


def test_only_resumable_streams_are_repeatable() -> None:
    stream = {'execution': Execution.STREAM}
    assert make_route('/a/', **stream, resumable=True).repeatable
    assert not make_route('/a/', **stream).repeatable
    assert not make_route(
        '/a/',
        execution=Execution.NON_IDEMPOTENT,
        resumable=True,
    ).repeatable
