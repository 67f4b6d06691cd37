"""Agent that keeps whole answers and merges nothing: the baseline."""

from primroseyoke import agent, executions
from primroseyoke.answers import AnswerBuffer

if __name__ == '__main__':
    executions.AnswerBuffer = lambda _merging=False, **_: AnswerBuffer(False)
    agent.main()
