"""Whether a request was executed."""

import enum

__all__ = ('Verdict',)


class Verdict(enum.Enum):
    """What is known about the execution of one request."""

    #: The request was not executed and will not be.
    NOT_RUN = 'not_run'
    #: It is unknown whether the request was executed.
    MAY_HAVE_RUN = 'may_have_run'
    #: The request was executed.
    RAN = 'ran'
