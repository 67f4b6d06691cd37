"""The exception tree: every failure derives from one base class."""

from .verdicts import Verdict

__all__ = (
    'ConfigurationInvalid',
    'ConnectionBroken',
    'LinkClosed',
    'LinkFailed',
    'MessageInvalid',
    'PrimroseyokeError',
    'RequestFailed',
    'RequestInvalid',
    'RequestRejected',
    'ServiceRefused',
    'ServiceUnavailable',
    'SettingsInvalid',
)


class PrimroseyokeError(Exception):
    """Base class of every error that this package raises."""


class SettingsInvalid(PrimroseyokeError):
    """A settings file cannot be used; the text names file, section and key."""


class ConfigurationInvalid(PrimroseyokeError):
    """A configuration record breaks a validity rule."""


class MessageInvalid(PrimroseyokeError):
    """A message between processes cannot be decoded."""


class LinkClosed(PrimroseyokeError):
    """The connection between an entry and an agent has ended."""


class ServiceUnavailable(PrimroseyokeError):
    """A service of the platform did not answer, or refused."""


class ServiceRefused(ServiceUnavailable):
    """A service accepts no connection: its process is gone."""


class RequestInvalid(PrimroseyokeError):
    """A caller's request breaks the protocol; nothing of it was run."""

    def __init__(self, detail: str, status: int = 400) -> None:
        """Keep the HTTP status (400 to 499) with the text."""
        super().__init__(detail)
        self.status = status


class RequestFailed(PrimroseyokeError):
    """A request got no answer; the verdict says whether it may have run."""

    def __init__(
        self,
        detail: str,
        verdict: Verdict,
        status: int = 503,
        retry_after: float = 0,
    ) -> None:
        """Keep the verdict, the HTTP status and a delay in seconds."""
        super().__init__(detail)
        self.verdict = verdict
        self.status = status
        self.retry_after = retry_after


class LinkFailed(RequestFailed):
    """The link to the upstream was down, or ended before an answer."""


class ConnectionBroken(RequestFailed):
    """The upstream ended the connection before the answer was whole."""


class RequestRejected(RequestFailed):
    """The upstream states that it did not run the request."""
