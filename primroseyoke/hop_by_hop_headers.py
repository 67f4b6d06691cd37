"""Hop-by-hop headers of HTTP."""

__all__ = ('HOP_BY_HOP_HEADERS',)

# Headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1).
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
