"""Headers that belong to one connection."""

__all__ = ('HOP_BY_HOP_HEADERS',)

# Headers that belong to one connection are not passed on (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
