"""Messages exchanged by an entry and an agent over a link.

Each message is a frozen dataclass. On the wire it is a CBOR array: the class
name, then the fields in order of declaration; nested classes are CBOR maps.
"""

import dataclasses
import types
from typing import Any, TypeAlias, get_args

import cbor2
import msgspec

from .exceptions import MessageInvalid
from .evidence import Evidence, Traits
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
    'Suspects',
    'Welcome',
    'decode',
    'encode',
)

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one upstream as measured by its agent.

    ``running`` and ``waiting`` count requests, ``limit`` is the current maximum
    of running requests, ``accepting`` is false while the agent refuses new
    ones, ``starting`` is true while it does so only because it has no
    configuration yet.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 0
    accepting: bool = True
    starting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of an entry, with its host and software version."""

    host: str
    availability_zone: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """First message of an agent; ``incarnation`` changes when it restarts."""

    upstream: str
    incarnation: str
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Asks the agent to run one attempt at a request.

    ``deadline`` is the remaining time in seconds, ``window`` the number of
    bytes that the agent may send before it receives credit. ``key_time`` is the
    creation time of ``key`` in Unix seconds, 0 if the key contains none.
    ``sent_at`` is when the entry sent the message, or, if ``key`` contains no
    time, when the caller's request arrived (Unix seconds). ``run`` is false to
    invalidate a key without running the request. ``refused_by`` names the home
    agents of the key that have refused it permanently. ``prompt_parts`` has a
    trait for each part of a prompt that other requests may share.
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
    prompt_parts: tuple[int, ...] = ()

    @property
    def traits(self) -> Traits:
        """Return the traits that crash evidence is kept by."""
        return frozenset((self.fingerprint, *self.prompt_parts))


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Allows the agent to send ``size`` more response bytes (flow control)."""

    attempt: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt whose response is no longer needed."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The agent did not start the attempt; ``retry_after`` is in seconds."""

    attempt: int
    verdict: Verdict
    reason: str
    status: int
    retry_after: float
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response."""

    attempt: int
    status: int
    headers: Headers
    replayed: bool
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Bytes of a response body, starting at offset ``position``."""

    attempt: int
    position: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a complete response: ``length`` in bytes, xxh3-64 ``digest``."""

    attempt: int
    length: int
    digest: int
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt was started but produced no complete response."""

    attempt: int
    verdict: Verdict
    reason: str
    status: int
    crashed: bool
    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Periodic report of the load of an upstream."""

    load: Load


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Configuration position of the sender, sent periodically and on change.

    ``confirmed_at`` is the latest time (Unix seconds, clock of the log) at
    which the log had no record after ``offset`` of ``era``.
    """

    offset: int
    confirmed_at: float
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Requests the receiver's configuration if it is newer than this one."""

    offset: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the configuration at ``offset``; ``content`` is compressed."""

    offset: int
    confirmed_at: float
    content: bytes
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Crash evidence for the receiver to use and forward."""

    evidence: Evidence


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

_ERA_FIELD = 'era'
# Raised for invalid CBOR, a wrong array shape and wrong field types.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORError)


def encode(message: Message) -> bytes:
    """Return a message encoded as CBOR."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    # Earlier versions do not know this field. The log of most deployments is
    # in its first era.
    if not fields.get(_ERA_FIELD, True):
        fields.pop(_ERA_FIELD)
    return cbor2.dumps((type(message).__name__, *fields.values()))


def decode(frame: bytes | str) -> Message:
    """Decode a CBOR frame.

    Raises:
        MessageInvalid: the frame is not a message of this protocol.
    """
    if isinstance(frame, str):
        raise MessageInvalid('expected a binary frame, received a text frame')
    try:
        tag, *fields = cbor2.loads(frame)
        names = _FIELD_NAMES[tag]
        if len(fields) < len(names):
            names = tuple(name for name in names if name != _ERA_FIELD)
        fields_by_name = dict(zip(names, fields, strict=True))
        message: Message = msgspec.convert(
            fields_by_name, _MESSAGE_CLASSES[tag]
        )
    except _DECODE_ERRORS as error:
        raise MessageInvalid(f'message cannot be decoded: {error!r}') from error
    return message
