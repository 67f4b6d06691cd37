"""Starts a gateway with the platform's settings file."""

import asyncio
import logging
import sys

from ..exceptions import SettingsInvalid
from ..gateway.gateway import Gateway
from ..journal import configure_logging
from .adapter import UsersPlatform
from .settings import load_platform_settings, settings_path

_EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run a gateway until it is told to stop."""
    try:
        settings = load_platform_settings(settings_path())
    except SettingsInvalid as error:
        sys.stderr.write(f'primroseyoke-gateway: {error}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    configure_logging('gateway', settings.host, stream=sys.stdout)
    logging.captureWarnings(capture=True)
    asyncio.run(Gateway(settings, UsersPlatform(settings)).run())


main()
