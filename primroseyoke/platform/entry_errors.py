"""Invalid and repeated entries of a configuration, by entry."""

import collections
from collections.abc import Iterable, Mapping

import msgspec

from ..exceptions import ConfigurationFieldInvalid, ConfigurationInvalid
from .entries import ENTRY_TYPES, decode_configuration, convert_field_error

__all__ = ('count_services', 'find_invalid_fields')


class _EntryLists(msgspec.Struct):
    """A configuration whose entries are not decoded."""

    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[msgspec.Raw, ...] = ()
    tenants: tuple[msgspec.Raw, ...] = ()


class _ServiceName(msgspec.Struct):
    """The part of a service that ``count_services`` reads."""

    name: str


class _ServiceNames(msgspec.Struct):
    """The part of a configuration that ``count_services`` reads."""

    services: tuple[_ServiceName, ...]


def count_services(content: bytes) -> Mapping[str, int]:
    """Return the number of entries of each service, by name.

    A ``Configuration`` has only the last entry of each.

    Args:
        content: a valid configuration as JSON.
    """
    names = msgspec.json.decode(content, type=_ServiceNames).services
    return collections.Counter(service.name for service in names)


def find_invalid_fields(content: bytes) -> list[ConfigurationFieldInvalid]:
    """Return the first invalid field of each entry of a configuration.

    ``decode_configuration`` stops at the first one of all entries.

    Raises:
        ConfigurationInvalid: the configuration is malformed.
    """
    try:
        errors = list(_find_invalid_entries(content))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationInvalid(f'invalid configuration: {error}') from error
    try:
        decode_configuration(content, lambda service, reason: None)
    except ConfigurationFieldInvalid as first:
        if first.path not in {error.path for error in errors}:
            errors.insert(0, first)
    return errors


def _find_invalid_entries(
    content: bytes,
) -> Iterable[ConfigurationFieldInvalid]:
    # Reads all of the content: the decoder of a type stops at a wrong field,
    # and would not notice that the rest is malformed.
    msgspec.json.decode(content, type=msgspec.Raw)
    try:
        lists = msgspec.json.decode(content, type=_EntryLists)
    except msgspec.ValidationError:
        # One of the lists has another type; ``decode_configuration`` names it.
        return
    for name, entry_type in ENTRY_TYPES.items():
        decoder = msgspec.json.Decoder(entry_type)
        for index, entry in enumerate(getattr(lists, name)):
            try:
                decoder.decode(entry)
            except msgspec.ValidationError as error:
                yield convert_field_error(error, f'{name}[{index}]')
