"""Messages that an entry and an agent exchange over a link.

Each message is a frozen dataclass. On the wire it is a CBOR array: the class
name, then the fields in order of declaration; nested classes are CBOR maps.
"""

import dataclasses
import types
from typing import Any, TypeAlias, get_args

import cbor2
import msgspec

from .exceptions import MessageInvalid
from .verdicts import Verdict

__all__ = (
    'Announce',
    'Body',
    'Cancel',
    'Credit',
    'End',
    'Failed',
    'Head',
    'Hello',
    'Load',
    'LoadReport',
    'Message',
    'Pull',
    'Refused',
    'Snapshot',
    'Start',
    'Suspect',
    'Suspects',
    'Welcome',
    'decode',
    'encode',
)

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one upstream as its agent sees it.

    ``running`` and ``waiting`` count requests, ``limit`` is how many may run
    now, ``accepting`` is false while the agent refuses new work.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 0
    accepting: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Crash evidence against one request fingerprint.

    ``upstreams`` names the upstreams that crashed while running it; none of
    them means that it has completed since and is cleared. ``expires_in`` is
    the remaining lifetime in seconds. ``alone`` is true if nothing else ran
    beside it at any time.
    """

    fingerprint: int
    upstreams: tuple[str, ...]
    expires_in: float
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of an entry."""

    host: str
    availability_zone: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """First message of an agent; ``incarnation`` changes at each start."""

    upstream: str
    incarnation: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One attempt at a request.

    ``deadline`` is the time left in seconds, ``window`` the bytes that the
    agent may send before it gets credit. ``key_time`` is the creation time of
    ``key`` in Unix seconds, 0 if the key does not carry one. ``sent_at`` is
    when the entry sent the message, or, if ``key`` carries no time, when the
    caller's request arrived (Unix seconds). ``run`` is false to void a key,
    ``refused_by`` names the homes that have refused it for good.
    """

    attempt: int
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    client: str
    key: str
    key_time: float
    deadline: float
    idempotent: bool
    window: int
    fingerprint: int
    sent_at: float
    run: bool = True
    refused_by: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Allows the agent to send ``size`` more bytes of an answer."""

    attempt: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ends an attempt whose answer is no longer wanted."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt was not started; ``retry_after`` is in seconds."""

    attempt: int
    verdict: Verdict
    reason: str
    status: int
    retry_after: float
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer."""

    attempt: int
    status: int
    headers: Headers
    replayed: bool
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Bytes of an answer that start at ``position``."""

    attempt: int
    position: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a whole answer of ``length`` bytes with an xxh3-64 digest."""

    attempt: int
    length: int
    digest: int
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt was started and got no whole answer."""

    attempt: int
    verdict: Verdict
    reason: str
    status: int
    crashed: bool
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an upstream, sent periodically."""

    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Configuration offset of the sender, sent periodically and on change.

    ``confirmed_at`` is the log's time (Unix seconds) at which nothing newer
    than ``offset`` was in the log.
    """

    offset: int
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Asks the peer for its configuration if that is newer than ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Folded configuration up to ``offset``; ``content`` is compressed."""

    offset: int
    confirmed_at: float
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Crash evidence that the receiver passes on."""

    rows: tuple[Suspect, ...]


Message: TypeAlias = (
    Announce
    | Body
    | Cancel
    | Credit
    | End
    | Failed
    | Head
    | Hello
    | LoadReport
    | Pull
    | Refused
    | Snapshot
    | Start
    | Suspects
    | Welcome
)

_MESSAGE_CLASSES: types.MappingProxyType[str, type[Any]] = (
    types.MappingProxyType(
        {
            message_class.__name__: message_class
            for message_class in get_args(Message)
        }
    )
)
_FIELD_NAMES: types.MappingProxyType[str, tuple[str, ...]] = (
    types.MappingProxyType(
        {
            tag: tuple(
                field.name for field in dataclasses.fields(message_class)
            )
            for tag, message_class in _MESSAGE_CLASSES.items()
        }
    )
)

# The codec, the array shape and the field types can each be at fault.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORError)


def encode(message: Message) -> bytes:
    """Return the CBOR form of a message."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps((type(message).__name__, *fields.values()))


def decode(frame: bytes | str) -> Message:
    """Return the message in a CBOR frame.

    Raises:
        MessageInvalid: the frame is not a message of this protocol.
    """
    if isinstance(frame, str):
        raise MessageInvalid('text frame where a binary one is required')
    try:
        tag, *fields = cbor2.loads(frame)
        fields_by_name = dict(zip(_FIELD_NAMES[tag], fields, strict=True))
        message: Message = msgspec.convert(
            fields_by_name, _MESSAGE_CLASSES[tag]
        )
    except _DECODE_ERRORS as error:
        raise MessageInvalid(f'undecodable message: {error!r}') from error
    return message
