"""Command ``primroseyoke-gateway``."""

import asyncio
import logging
import sys

from ..exceptions import SettingsInvalid
from ..gateway.gateway import Gateway
from ..json_logging import configure_logging
from .adapter import PlatformAdapter
from .settings import load_platform_settings, settings_path

__all__ = ('main',)

_INVALID_SETTINGS_EXIT_STATUS = 2


def main() -> None:
    """Run a gateway until it is stopped."""
    path = _settings_path_argument() or settings_path()
    try:
        settings = load_platform_settings(path)
    except SettingsInvalid as error:
        sys.stderr.write(f'primroseyoke-gateway: {error}\n')
        sys.exit(_INVALID_SETTINGS_EXIT_STATUS)
    configure_logging('gateway', settings.host, stream=sys.stdout)
    logging.captureWarnings(capture=True)
    asyncio.run(Gateway(settings, PlatformAdapter(settings, path)).run())


def _settings_path_argument() -> str:
    """Return the settings file given on the command line, '' if none is.

    The flags library is imported only if there are arguments. The platform
    starts gateways without any, and memory is billed.
    """
    if len(sys.argv) == 1:
        return ''
    from absl import flags  # noqa: PLC0415, WPS433 - see above

    from ..programs import parse_flags  # noqa: PLC0415, WPS433 - see above

    parse_flags(
        'gateway',
        'primroseyoke-gateway [--settings=FILE]',
        f"the platform's settings file; {settings_path()} if not given",
    )
    return str(flags.FLAGS.settings)
