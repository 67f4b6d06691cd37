"""INI settings files, validated completely before a program starts."""

import configparser
import dataclasses
import ipaddress
import types
from typing import Any, get_type_hints

import msgspec

from .exceptions import SettingsInvalid

__all__ = ('Address', 'load_settings')

_MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port, written ``ip:port``."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``text``.

        Raises:
            ValueError: the text is not an IP address and a port.
        """
        host, _, port = text.rpartition(':')
        host = host.strip('[]')
        ipaddress.ip_address(host)
        # int() accepts signs, spaces and the digits of other scripts.
        is_number = port.isascii() and port.isdigit()
        if not is_number or int(port) > _MAX_PORT:
            raise ValueError(f'port {port!r} is not within 0 to {_MAX_PORT}')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return the form that ``parse`` accepts."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


_TYPE_NAMES = types.MappingProxyType(
    {
        Address: 'ip:port',
        str: 'text',
        int: 'a whole number',
        float: 'a number',
    }
)


def load_settings(path: str, sections: dict[str, type[Any]]) -> Any:
    """Read a settings file into one object per section.

    Args:
        path: an INI file.
        sections: the dataclass of each accepted section; ranges are
            ``msgspec.Meta`` annotations.

    Returns:
        A namespace with one attribute per section.

    Raises:
        SettingsInvalid: the message describes the first error: file, section,
            key, the value found and what is accepted.
    """
    parser = _read_file(path)
    unknown = sorted(set(parser.sections()) - set(sections))
    if unknown:
        accepted = ', '.join(sorted(sections))
        raise SettingsInvalid(
            f'{path}: [{unknown[0]}]: unknown section; accepted: {accepted}',
        )
    return types.SimpleNamespace(
        **{
            name: _read_section(
                f'{path}: [{name}]', section_class, parser, name
            )
            for name, section_class in sections.items()
        }
    )


def _read_file(path: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = ' '.join(str(error).split())
        raise SettingsInvalid(f'{path}: unreadable: {reason}') from error
    return parser


def _read_section(
    location: str,
    section_class: type[Any],
    parser: configparser.ConfigParser,
    name: str,
) -> Any:
    found = dict(parser[name]) if parser.has_section(name) else {}
    hints = get_type_hints(section_class, include_extras=True)
    unknown = sorted(set(found) - set(hints))
    if unknown:
        accepted = ', '.join(sorted(hints))
        raise SettingsInvalid(
            f'{location} {unknown[0]}: unknown key; accepted: {accepted}',
        )
    for field in dataclasses.fields(section_class):
        if field.name not in found and field.default is dataclasses.MISSING:
            expected = _expected_type(hints[field.name])
            raise SettingsInvalid(
                f'{location} {field.name}: missing; accepted: {expected}',
            )
    return section_class(
        **{
            key: _convert(f'{location} {key}', hints[key], text)
            for key, text in found.items()
        }
    )


def _expected_type(value_type: Any) -> str:
    plain_type = getattr(value_type, '__origin__', value_type)
    return _TYPE_NAMES[plain_type]


def _convert(location: str, value_type: Any, text: str) -> Any:
    try:
        if value_type is Address:
            return Address.parse(text)
        return msgspec.convert(text, value_type, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsInvalid(f'{location}: found {text!r}: {error}') from error
    except ValueError as error:
        raise SettingsInvalid(
            f'{location}: found {text!r}: expected ip:port',
        ) from error
