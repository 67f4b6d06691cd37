"""Command-line tool for operators."""

import dataclasses
import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import msgspec
from absl import flags

from .configuration import Configuration, Outcome
from .configuration_parts import host_from_address
from .exceptions import ConfigurationInvalid, PrimroseyokeError, SettingsInvalid
from .host_list import HostList
from .log_service import LogService
from .operator_client import HostState, OperatorClient
from .programs import parse_flags
from .settings import Address, load_settings

__all__ = ('main',)

_USAGE = """primroseyoke-ctl COMMAND [ARGUMENT] [flags]

Commands:
  check FILE      validate a change file without publishing it
  publish FILE    publish a change file (JSON: part name to value or null)
  take-out PART   send no new requests to zone/<name>, host/<ip> or
                  upstream/<name>
  bring-back PART send new requests to it again
  show            print the configuration in force, with its exceptions
  watch OFFSET    wait until a change is in force everywhere
  status          print one line for each host
  dump IP:PORT    print the state of one process

publish, take-out and bring-back need --reason and wait until the change is in
force everywhere, unless --nowait is given. With --seen=OFFSET (the offset that
show printed), check and publish refuse a file if one of its parts was changed
after that offset.

Exit codes:
  0  done
  1  refused: the change is invalid, or a part was changed in the meantime
  2  invalid usage or settings
  3  not in force everywhere when --timeout expired; the change stays published
  4  no response from the log, the host list or the process; after publish,
     take-out or bring-back the change may be in the log: see show
"""

_EXIT_REFUSED = 1
_EXIT_USAGE_ERROR = 2
_EXIT_NOT_IN_FORCE = 3
_EXIT_UNAVAILABLE = 4
_MIN_REASON_LENGTH = 3

FLAGS = flags.FLAGS


@dataclasses.dataclass(frozen=True)
class CtlSettings:
    """Section ``[ctl]``."""

    log_service: Address
    host_list: Address
    author: str


class Command:
    """The subcommands; each returns the exit code."""

    def __init__(self, operator: OperatorClient) -> None:
        """Run the subcommands with ``operator``."""
        self.operator = operator

    def check(self, path: str) -> int:
        """Check a change file."""
        decision = self.operator.check(_read_parts(path), 'check', FLAGS.seen)
        outcome = decision.outcome.value
        _print(f'{outcome} {decision.detail}'.strip())
        return 0 if decision.outcome is Outcome.ACCEPTED else _EXIT_REFUSED

    def publish(self, path: str) -> int:
        """Publish a change file and wait until all hosts have applied it."""
        reason = _required_reason()
        return self._publish(_read_parts(path), reason, FLAGS.seen)

    def take_out(self, part: str) -> int:
        """Stop sending new requests to a zone, a host or an upstream."""
        return self._set_state(part, 'out')

    def bring_back(self, part: str) -> int:
        """Send new requests to a zone, a host or an upstream again."""
        return self._set_state(part, 'in')

    def show(self) -> int:
        """Print the configuration."""
        self.operator.refresh()
        state_machine = self.operator.state_machine
        exceptions = {
            name: {**raw, 'version': state_machine.version(name)}
            for name, raw in sorted(state_machine.raw.items())
            if name.startswith('exception/')
        }
        _print_json(
            {
                'offset': state_machine.offset,
                'exceptions': exceptions,
                'parts': {
                    name: raw
                    for name, raw in sorted(state_machine.raw.items())
                    if name not in exceptions
                },
                'versions': dict(sorted(state_machine.versions.items())),
            },
        )
        return 0

    def watch(self, offset: str, era: int | None = None) -> int:
        """Wait until all hosts have applied a change."""
        if not offset.isdecimal():
            raise SettingsInvalid(f'not an offset: {offset}')
        outdated: list[HostState] = []
        for outdated_now in self.operator.watch(
            int(offset), FLAGS.timeout, era
        ):
            outdated = outdated_now
            names = ', '.join(map(_describe_host, outdated))
            _print(f'offset {offset}: not yet at: {names}' if outdated else '')
        if outdated:
            return _EXIT_NOT_IN_FORCE
        _print(f'offset {offset}: in force everywhere')
        return 0

    def status(self) -> int:
        """Print one line for each listed host."""
        for state in self.operator.host_states():
            host = state.host
            host_summary = f'{host.name} {host.role} {host.availability_zone}'
            _print(f'{host_summary} {host.state} {_describe_state(state)}')
        return 0

    def dump(self, address: str) -> int:
        """Print the state of one process."""
        _print_json(self.operator.dump(address))
        return 0

    def _publish(
        self,
        parts: Mapping[str, Any],
        reason: str,
        seen: int | None,
    ) -> int:
        published = self.operator.publish(parts, reason, seen)
        decision = published.decision
        outcome = decision.outcome.value
        _print(f'offset {published.offset}: {outcome}')
        if decision.outcome is not Outcome.ACCEPTED:
            _print(decision.detail)
            return _EXIT_REFUSED
        if not FLAGS.wait:
            return 0
        return self.watch(str(published.offset), published.era)

    def _set_state(self, part: str, state: str) -> int:
        reason = _required_reason()
        self.operator.refresh()
        state_machine = self.operator.state_machine
        if part not in _removable_parts(state_machine.current):
            raise ConfigurationInvalid(
                f'{part}: no upstream is in such a zone, on such a host or has'
                ' such a name',
            )
        changed = {**state_machine.raw.get(part, {})}
        if part.startswith('upstream/'):
            changed['state'] = 'leaving' if state == 'out' else state
        else:
            changed.update(state=state, reason=reason)
        # Passing the offset makes the change stale if another operator changes
        # the part in the meantime, so that it does not undo that change.
        return self._publish({part: changed}, reason, state_machine.offset)


# Each subcommand with the number of its arguments.
_COMMANDS: Mapping[str, tuple[Callable[..., int], int]] = MappingProxyType(
    {
        'check': (Command.check, 1),
        'publish': (Command.publish, 1),
        'take-out': (Command.take_out, 1),
        'bring-back': (Command.bring_back, 1),
        'show': (Command.show, 0),
        'watch': (Command.watch, 1),
        'status': (Command.status, 0),
        'dump': (Command.dump, 1),
    }
)


def main() -> None:
    """Run the program."""
    flags.DEFINE_string('reason', '', 'why the change is made')
    flags.DEFINE_bool('wait', True, 'wait until the change is in force')  # noqa: WPS425
    flags.DEFINE_float('timeout', 30, 'maximum wait in seconds', lower_bound=0)
    flags.DEFINE_integer(
        'seen', None, 'offset at which the changed parts were read'
    )
    name, *rest = parse_flags('ctl', _USAGE) or ['']
    command, argument_count = _COMMANDS.get(name, (None, 0))
    if command is None or len(rest) != argument_count:
        sys.stderr.write(_USAGE)
        sys.exit(_EXIT_USAGE_ERROR)
    try:
        exit_code = command(Command(_make_operator_client()), *rest)
    except PrimroseyokeError as error:
        exit_code = _report_error(error)
    sys.exit(exit_code)


def _make_operator_client() -> OperatorClient:
    if not FLAGS.settings:
        raise SettingsInvalid('--settings=FILE is needed')
    settings = load_settings(FLAGS.settings, {'ctl': CtlSettings}).ctl
    return OperatorClient(
        LogService(str(settings.log_service)),
        HostList(str(settings.host_list)),
        settings.author,
    )


def _read_parts(path: str) -> dict[str, Any]:
    try:
        with open(path, 'rb') as stream:
            parts = msgspec.json.decode(stream.read(), type=dict[str, Any])
    except (OSError, msgspec.MsgspecError) as error:
        raise ConfigurationInvalid(f'{path}: {error}') from error
    if not parts:
        raise ConfigurationInvalid(f'{path}: names no part')
    for name, part in parts.items():
        if not isinstance(part, dict | None):
            raise ConfigurationInvalid(
                f'{path}: {name}: found {part!r}, expected an object or null',
            )
    return parts


def _required_reason() -> str:
    reason = str(FLAGS.reason).strip()
    if len(reason) < _MIN_REASON_LENGTH:
        raise SettingsInvalid('a change needs --reason=TEXT that says why')
    return reason


def _removable_parts(configuration: Configuration | None) -> set[str]:
    """Return the names of the parts that can be taken out."""
    parts = set()
    upstreams = configuration.parts_of_kind('upstream') if configuration else {}
    for name, upstream in upstreams.items():
        parts.add(f'upstream/{name}')
        parts.add(f'zone/{upstream.availability_zone}')
        parts.add(f'host/{host_from_address(upstream.agent)}')
    return parts


def _describe_state(state: HostState) -> str:
    if state.state is None:
        return 'no answer'
    waiting = ''
    if state.state.get('needs_snapshot'):
        waiting = ', waits for a snapshot'
    return f'offset {state.offset}{waiting}'


def _report_error(error: PrimroseyokeError) -> int:
    sys.stderr.write(f'primroseyoke-ctl: {error}\n')
    if isinstance(error, SettingsInvalid):
        return _EXIT_USAGE_ERROR
    if isinstance(error, ConfigurationInvalid):
        return _EXIT_REFUSED
    return _EXIT_UNAVAILABLE


def _describe_host(state: HostState) -> str:
    name = state.host.name
    return f'{name} ({_describe_state(state)})'


def _print_json(document: Any) -> None:
    _print(msgspec.json.format(msgspec.json.encode(document)).decode())


def _print(text: str) -> None:
    if text:
        sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
