"""The operators' command."""

import dataclasses
import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec
from absl import flags

from .configuration import Outcome
from .exceptions import ConfigurationInvalid, PrimroseyokeError, SettingsInvalid
from .hostlists import HostList
from .operators import HostState, Operator
from .programs import parse_flags
from .records import LogService
from .settings import Address, load_settings

__all__ = ('main',)

_USAGE = """primroseyoke-ctl COMMAND [ARGUMENT] [flags]

Commands:
  check FILE      tell what a change file would do, without publishing it
  publish FILE    publish a change file (JSON: part name to value or null)
  take-out PART   stop new work for zone/<name>, host/<ip> or upstream/<name>
  bring-back PART give new work to it again
  show            print the configuration in force, with its exceptions
  watch OFFSET    wait until a change is in force everywhere
  status          print one line for each host
  dump IP:PORT    print the state of one process
"""

_EXIT_REFUSED = 1
_EXIT_BAD_SETTINGS = 2
_EXIT_NOT_IN_FORCE = 3
_EXIT_UNAVAILABLE = 4

FLAGS = flags.FLAGS


@dataclasses.dataclass(frozen=True)
class CtlSettings:
    """Section ``[ctl]``."""

    log_service: Address
    host_list: Address
    author: str


class Command:
    """One invocation of the command."""

    def __init__(self, operator: Operator) -> None:
        """Act through ``operator``."""
        self.operator = operator

    def check(self, path: str) -> int:
        """Check a change file."""
        decision = self.operator.check(_read_parts(path), 'check')
        outcome = decision.outcome.value
        _print(f'{outcome} {decision.detail}'.strip())
        return 0 if decision.outcome is Outcome.ACCEPTED else _EXIT_REFUSED

    def publish(self, path: str) -> int:
        """Publish a change file and wait until it is in force."""
        return self._publish(_read_parts(path))

    def take_out(self, part: str) -> int:
        """Stop new work for a zone, a host or an upstream."""
        return self._publish(self._with_state(part, 'out', 'leaving'))

    def bring_back(self, part: str) -> int:
        """Give new work to a zone, a host or an upstream again."""
        return self._publish(self._with_state(part, 'in', 'in'))

    def show(self) -> int:
        """Print the configuration."""
        self.operator.refresh()
        document = {
            'offset': self.operator.fold.offset,
            'parts': self.operator.fold.raw,
            'versions': self.operator.fold.versions,
        }
        _print(msgspec.json.format(msgspec.json.encode(document)).decode())
        return 0

    def watch(self, offset: str) -> int:
        """Wait until a change is in force."""
        if not offset.isdecimal():
            raise ConfigurationInvalid(f'not an offset: {offset}')
        behind: list[HostState] = []
        for behind_now in self.operator.watch(int(offset), FLAGS.timeout):
            behind = behind_now
            names = ' '.join(state.host.name for state in behind)
            _print(f'offset {offset}: not yet at: {names}' if behind else '')
        if behind:
            return _EXIT_NOT_IN_FORCE
        _print(f'offset {offset}: in force everywhere')
        return 0

    def status(self) -> int:
        """Print one line for each listed host."""
        for state in self.operator.states():
            host = state.host
            known = 'no answer'
            if state.state is not None:
                offset = state.state['offset']
                known = f'offset {offset}'
            _print(
                f'{host.name} {host.role} {host.availability_zone}'
                f' {host.state} {known}',
            )
        return 0

    def dump(self, address: str) -> int:
        """Print the state of one process."""
        state = msgspec.json.encode(self.operator.dump(address))
        _print(msgspec.json.format(state).decode())
        return 0

    def _publish(self, parts: Mapping[str, Any]) -> int:
        published = self.operator.publish(parts, _reason())
        decision = published.decision
        outcome = decision.outcome.value
        _print(f'offset {published.offset}: {outcome}')
        if decision.outcome is not Outcome.ACCEPTED:
            _print(decision.detail)
            return _EXIT_REFUSED
        return self.watch(str(published.offset)) if FLAGS.wait else 0

    def _with_state(
        self, part: str, state: str, leaving: str
    ) -> dict[str, Any]:
        kind = part.partition('/')[0]
        self.operator.refresh()
        raw = dict(self.operator.fold.raw.get(part, {}))
        if kind == 'upstream' and raw:
            return {part: {**raw, 'state': leaving}}
        if kind in {'zone', 'host'}:
            return {part: {**raw, 'state': state, 'reason': _reason()}}
        raise ConfigurationInvalid(f'{part}: no such zone, host or upstream')


_COMMANDS: Mapping[str, Callable[..., int]] = MappingProxyType(
    {
        'check': Command.check,
        'publish': Command.publish,
        'take-out': Command.take_out,
        'bring-back': Command.bring_back,
        'show': Command.show,
        'watch': Command.watch,
        'status': Command.status,
        'dump': Command.dump,
    }
)


def main() -> None:
    """Run the program."""
    flags.DEFINE_string('reason', '', 'why the change is made')
    flags.DEFINE_bool('wait', True, 'wait until the change is in force')  # noqa: WPS425
    flags.DEFINE_float('timeout', 30, 'longest wait in seconds')
    arguments = parse_flags('ctl', _USAGE)
    if not arguments or arguments[0] not in _COMMANDS:
        sys.stderr.write(_USAGE)
        sys.exit(_EXIT_BAD_SETTINGS)
    sys.exit(_execute(arguments[0], arguments[1:]))


def _execute(name: str, arguments: list[str]) -> int:
    try:
        return _COMMANDS[name](Command(_operator()), *arguments)
    except PrimroseyokeError as error:
        return _complain(error)
    except TypeError:
        sys.stderr.write(_USAGE)
        return _EXIT_BAD_SETTINGS


def _operator() -> Operator:
    settings = load_settings(FLAGS.settings, {'ctl': CtlSettings}).ctl
    return Operator(
        LogService(str(settings.log_service)),
        HostList(str(settings.host_list)),
        settings.author,
    )


def _read_parts(path: str) -> dict[str, Any]:
    try:
        with open(path, 'rb') as stream:
            return msgspec.json.decode(stream.read(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError) as error:
        raise ConfigurationInvalid(f'{path}: {error}') from error


def _reason() -> str:
    if not FLAGS.reason:
        raise ConfigurationInvalid('a change needs --reason')
    return str(FLAGS.reason)


def _complain(error: PrimroseyokeError) -> int:
    sys.stderr.write(f'primroseyoke-ctl: {error}\n')
    if isinstance(error, SettingsInvalid):
        return _EXIT_BAD_SETTINGS
    if isinstance(error, ConfigurationInvalid):
        return _EXIT_REFUSED
    return _EXIT_UNAVAILABLE


def _print(text: str) -> None:
    if text:
        sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
