"""Common parts of the daemons: flags, settings, logging and signals."""

import logging
import signal
import sys
import threading
from collections.abc import Callable
from typing import Any, Protocol

from absl import flags

from . import __version__
from .exceptions import PrimroseyokeError, SettingsInvalid
from .json_logging import configure_logging
from .settings import load_settings

__all__ = ('Daemon', 'parse_flags', 'run_daemon', 'run_periodically')

log = logging.getLogger(__name__)

_EXIT_USAGE_ERROR = 2


class Daemon(Protocol):
    """A long-running program that shuts down gracefully."""

    def run(self) -> None:
        """Serve until ``stop`` is called, then drain."""

    def stop(self, *unused: Any) -> None:
        """Make ``run`` drain and return; also used as a signal handler."""


def run_daemon(
    program: str,
    settings_class: type[Any],
    daemon_class: Callable[[Any], Daemon],
) -> None:
    """Run a daemon from the command line.

    Args:
        program: name of the daemon and of its settings section.
        settings_class: dataclass of the settings section.
        daemon_class: creates the daemon from its settings.
    """
    parse_flags(program, f'primroseyoke-{program} --settings=FILE')
    settings = _load_daemon_settings(program, settings_class)
    configure_logging(program, settings.name, settings.log_level)
    daemon = daemon_class(settings)
    signal.signal(signal.SIGTERM, daemon.stop)
    signal.signal(signal.SIGINT, daemon.stop)
    daemon.run()


def parse_flags(
    program: str,
    usage: str,
    settings: str = 'INI settings file',
) -> list[str]:
    """Parse the command line; handle ``--help`` and ``--version``.

    ``absl.app`` is not used because it imports a debugger, which takes 1.7 MB
    of memory in each daemon.

    Args:
        program: name of the program.
        usage: text that ``--help`` prints above the flags.
        settings: help text of the flag ``--settings``.

    Returns:
        The arguments that are not flags.
    """
    flags.DEFINE_string('settings', '', settings)
    flags.DEFINE_bool('version', False, 'print the version and exit')  # noqa: WPS425
    flags.DEFINE_bool('help', False, 'print this help and exit')  # noqa: WPS425
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        sys.stderr.write(f'primroseyoke-{program}: {error}\n')
        sys.exit(_EXIT_USAGE_ERROR)
    if flags.FLAGS.version:
        sys.stdout.write(f'primroseyoke-{program} {__version__}\n')
        sys.exit()
    if flags.FLAGS.help:
        sys.stdout.write(f'{usage}\n\nFlags:\n{_describe_flags()}\n')
        sys.exit()
    return arguments[1:]


def _describe_flags() -> str:
    lines = []
    for name in sorted(flags.FLAGS):
        text = flags.FLAGS[name].help
        lines.append(f'  --{name}: {text}')
    return '\n'.join(lines)


def run_periodically(
    interval: float,
    function: Callable[[], None],
    finished: threading.Event,
) -> None:
    """Call a function every ``interval`` seconds until ``finished`` is set."""
    thread = threading.Thread(
        target=_run_until_finished,
        args=(interval, function, finished),
        daemon=True,
    )
    thread.start()


def _run_until_finished(
    interval: float,
    function: Callable[[], None],
    finished: threading.Event,
) -> None:
    while not finished.wait(interval):
        try:
            function()
        except PrimroseyokeError:
            log.exception(
                'periodic task failed; it runs again after the interval'
            )


def _load_daemon_settings(program: str, settings_class: type[Any]) -> Any:
    if not flags.FLAGS.settings:
        sys.stderr.write(
            f'primroseyoke-{program}: --settings=FILE is required\n'
        )
        sys.exit(_EXIT_USAGE_ERROR)
    try:
        sections = load_settings(
            flags.FLAGS.settings,
            {program: settings_class},
        )
    except SettingsInvalid as error:
        sys.stderr.write(f'primroseyoke-{program}: {error}\n')
        sys.exit(_EXIT_USAGE_ERROR)
    return getattr(sections, program)
