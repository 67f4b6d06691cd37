"""Baseline agent that buffers whole answers without merging their events."""

from primroseyoke import agent, executions
from primroseyoke.response_buffering import ResponseBuffer

if __name__ == '__main__':
    executions.ResponseBuffer = lambda _merging=False, **_: ResponseBuffer(
        False
    )
    agent.main()
