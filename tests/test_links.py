"""Links between entries and agents."""

from primroseyoke.links import LinkPool, LinkServer
from primroseyoke.messages import Hello, Load, LoadReport, Welcome
from primroseyoke.settings import Address
from tests.fleet import free_port, wait_for


def test_load_report_during_the_welcome_reaches_the_entry():
    """Guards against entries that believe for seconds that an agent refuses.

    The report was lost if the load changed after the load in the welcome was
    read and before the link was registered.
    """
    address = Address('127.0.0.1', free_port())
    received = []

    def welcome():
        refusing = Welcome('draft-1', 'i', Load(0, 0, 1, accepting=False))
        server.broadcast(LoadReport(Load(0, 0, 1, accepting=True)))
        return refusing

    server = LinkServer(
        address,
        welcome,
        lambda peer, message: None,
        lambda peer: None,
        dict,
    )
    pool = LinkPool(
        Hello('entry', 'zone-a', '1'),
        lambda link, message: received.append(message.load.accepting),
        lambda link: None,
    )
    server.start()
    pool.event_loop.start()
    try:
        pool.set_agents({'draft-1': str(address)})
        wait_for(lambda: len(received) == 2, 5, 'the report')
        assert received == [False, True]
    finally:
        pool.stop()
        server.stop()
