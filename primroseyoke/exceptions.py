"""Exceptions, all derived from one base class."""

from .verdicts import Verdict

__all__ = (
    'ConfigurationFieldInvalid',
    'ConfigurationInvalid',
    'ConnectionBroken',
    'LinkClosed',
    'LinkFailed',
    'MessageInvalid',
    'PrimroseyokeError',
    'RequestFailed',
    'RequestInvalid',
    'RequestRejected',
    'ResponseInvalid',
    'ServiceRefused',
    'ServiceUnavailable',
    'SettingsInvalid',
    'UpstreamSilent',
    'UpstreamWithdrawn',
)


class PrimroseyokeError(Exception):
    """Base class of all exceptions of this package."""


class SettingsInvalid(PrimroseyokeError):
    """A settings file is invalid; the message names file, section and key."""


class ConfigurationInvalid(PrimroseyokeError):
    """A configuration record violates a validation rule."""


class ConfigurationFieldInvalid(ConfigurationInvalid):
    """A field of a configuration has an invalid value.

    The message contains no values, since API keys are among them.
    """

    def __init__(self, path: str, reason: str) -> None:
        """Store the path (``routes[3].timeoutMs``), '' if none, and reason."""
        field = f'{path}: ' if path else ''
        super().__init__(f'invalid configuration: {field}{reason}')
        self.path = path
        self.reason = reason


class MessageInvalid(PrimroseyokeError):
    """A message between processes cannot be decoded."""


class LinkClosed(PrimroseyokeError):
    """The connection between an entry and an agent has ended."""


class ServiceUnavailable(PrimroseyokeError):
    """A platform service did not respond, or refused the request."""


class ServiceRefused(ServiceUnavailable):
    """A service refused the connection: its process is not running."""


class RequestInvalid(PrimroseyokeError):
    """A caller's request violates the protocol and was not executed."""

    def __init__(self, detail: str, status: int = 400) -> None:
        """Store the error text and the HTTP status (400 to 499)."""
        super().__init__(detail)
        self.status = status


class ResponseInvalid(PrimroseyokeError):
    """An upstream's response exceeds a limit."""


class RequestFailed(PrimroseyokeError):
    """A request got no response; the verdict tells whether it may have run."""

    def __init__(
        self,
        detail: str,
        verdict: Verdict,
        status: int = 503,
        retry_after: float = 0,
    ) -> None:
        """Store the verdict, the HTTP status and a retry delay in seconds."""
        super().__init__(detail)
        self.verdict = verdict
        self.status = status
        self.retry_after = retry_after


class LinkFailed(RequestFailed):
    """The link to the upstream's agent was down, or ended before a response."""


class ConnectionBroken(RequestFailed):
    """The upstream closed the connection before the response was complete."""


class UpstreamSilent(RequestFailed):
    """The upstream has sent nothing for long; it may still go on."""


class UpstreamWithdrawn(RequestFailed):
    """The upstream asked for no more requests before this one was sent."""


class RequestRejected(RequestFailed):
    """The upstream reported that it did not run the request."""
