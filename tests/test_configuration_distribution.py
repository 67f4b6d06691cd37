"""Distribution of the configuration: the actor, a model and processes."""

import dataclasses
import functools
import signal
import typing

import cbor2
import freezegun
import pytest
from minicheck import Protocol, check_liveness, check_safety

from primroseyoke.configuration_distribution import (
    ASK_READ_POSITION,
    ASK_STATE,
    ConfigurationActor,
    PeerMessage,
)
from primroseyoke.messages import Announce, Pull, Snapshot, decode, encode
from primroseyoke.positions import Position
from primroseyoke.log_service import LogPage, LogRecord
from primroseyoke.configuration_snapshots import (
    CONFIGURATION_STREAM,
    SNAPSHOT_STREAM,
    compress_state,
)
from tests.conftest import ZONES, is_linked
from tests.fleet import chat, free_port, wait_for

RECORDS = tuple(
    LogRecord(
        offset,
        100.0 + offset,
        {
            'change': f'change-{offset}',
            'author': 'test',
            'reason': 'test',
            'parts': {'zone/a': {'reason': str(offset)}},
            'against': {'zone/a': offset},
            'seen': offset - 1,
        },
    )
    for offset in range(2)
)


def actor_at(offset):
    """Return an actor that has read the log up to an offset."""
    actor = ConfigurationActor(lambda changed: None, lambda message: None)
    for entry in RECORDS[: offset + 1]:
        actor.state_machine.apply_log_entry(
            entry.offset, entry.appended_at, entry.content
        )
    return actor


def page(start, first=0, following=len(RECORDS), now=200.0):
    start = max(start, first)
    return LogPage(RECORDS[start:following], first, following, now)


def test_actor_reports_that_it_needs_a_snapshot():
    """Guards against applying records without those before them."""
    actor = actor_at(-1)
    actor.on_receive(page(0, first=1))
    assert actor.on_receive(ASK_STATE)['needs_snapshot']
    answers = []
    content = compress_state(actor_at(0).state_machine.snapshot())
    message = PeerMessage(Snapshot(0, 150.0, content), answers.append)
    actor.on_receive(message)
    bad = PeerMessage(Snapshot(9, 300.0, b'x'), answers.append)
    actor.on_receive(bad)
    state = {
        'offset': 0,
        'era': 0,
        'retained': [],
        'confirmed_at': 150.0,
        'needs_snapshot': False,
    }
    assert actor.on_receive(ASK_STATE) == state


def test_log_that_lost_records_does_not_confirm_the_configuration():
    """Guards against confirmation by a log that lost records.

    A process that cannot read the log is confirmed by its peers.
    """
    actor = actor_at(1)
    actor.on_receive(page(0, following=1))
    assert actor.confirmed_at == 0
    assert actor.state_machine.offset == 1
    actor.on_receive(PeerMessage(Announce(1, 150.0), print))
    assert actor.confirmed_at == 150


@functools.lru_cache(maxsize=None)
def receive(offset, kind, sent):
    """Return the offset after a message and the message that answers it."""
    actor = actor_at(offset)
    answers = []
    content = compress_state(actor_at(sent).state_machine.snapshot())
    message = {
        'announce': Announce(sent, 0.0),
        'pull': Pull(sent),
        'snapshot': Snapshot(sent, 0.0, content),
    }[kind]
    actor.on_receive(PeerMessage(message, answers.append))
    answer = None
    if answers:
        answer = (type(answers[0]).__name__.lower(), answers[0].offset)
    return actor.state_machine.offset, answer


@functools.lru_cache(maxsize=None)
def read_log(offset, length):
    actor = actor_at(offset)
    actor.on_receive(page(offset + 1, following=length))
    return actor.state_machine.offset


def test_a_change_is_pulled_from_one_peer():
    """Guards against pulling a snapshot from each of hundreds of peers."""
    actor = actor_at(-1)
    answers = []
    with freezegun.freeze_time() as clock:
        for offset, seconds in ((0, 0), (0, 0.9), (1, 0), (1, 0), (1, 1)):
            clock.tick(seconds)
            message = Announce(offset, 0.0)
            actor.on_receive(PeerMessage(message, answers.append))
    assert len(answers) == 3


class State(typing.NamedTuple):
    length: int = 0
    up: bool = True
    entry: int = -1
    isolated_entry: int = -1
    agent: int = -1
    network: tuple = (None,) * 4
    reverted: bool = False


# Receiver and sender of each channel, as indexes into the state.
CHANNELS = ((4, 2), (2, 4), (4, 3), (3, 4))


def transitions(state):
    length, up, entry, _, _, network, _ = state
    replaced = state._replace
    yield 'log fails or returns', replaced(up=not up)
    if up and length < len(RECORDS):
        yield 'append', replaced(length=length + 1)
    if up:
        yield 'entry reads', with_offset(state, 2, read_log(entry, length))
    for process in ('entry', 'isolated_entry', 'agent'):
        # The new process has not read anything yet.
        yield f'{process} restarts', replaced(**{process: -1})
    for number, (receiver, sender) in enumerate(CHANNELS):
        announce = replace_item(network, number, ('announce', state[sender]))
        # Replaces the previous message, which can thus be lost.
        yield 'announce', replaced(network=announce)
        if network[number] is not None:
            yield 'deliver', deliver(state, number, receiver)


def deliver(state, number, receiver):
    """Deliver a message; it stays in the network and can be repeated."""
    network = state[5]
    offset, answer = receive(state[receiver], *network[number])
    if answer is not None:
        back = number ^ 1
        network = replace_item(network, back, answer)
    return with_offset(state._replace(network=network), receiver, offset)


def with_offset(state, process, offset):
    return state._replace(
        **{State._fields[process]: offset},
        reverted=state.reverted or offset < state[process],
    )


def replace_item(network, number, message):
    return (*network[:number], message, *network[number + 1 :])


def test_processes_never_revert_and_can_always_converge():
    """Guards against old or repeated messages that revert a process.

    The second entry cannot read the log: it depends on the agent.
    """
    model = Protocol(
        name='distribution',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(transitions(state)),
        invariants={'no process reverts': lambda state: not state['reverted']},
        goal=lambda state: (
            {state['entry'], state['isolated_entry'], state['agent']}
            == {len(RECORDS) - 1}
        ),
    )
    safety = check_safety(model)
    assert safety['exhaustive']
    assert safety['properties']['no process reverts']['holds'] is True
    assert check_liveness(model)['holds'] is True


@pytest.fixture
def draft_fleet(fleet):
    """Two zones; the entry of the second cannot reach the log."""
    fleet.add_service('draft', 'model', ZONES, tokens=2)
    unreachable_log = {'log_service': f'127.0.0.1:{free_port()}'}
    fleet.entries = [
        fleet.start_entry('entry-a', ZONES[0]),
        fleet.start_entry('entry-b', ZONES[1], **unreachable_log),
    ]
    fleet.update_host_list()
    published = fleet.publish()
    assert published.returncode == 0, published
    return fleet


def offset_of(process):
    return process.state()['offset']


def test_replaced_hosts_get_the_configuration_from_peers(draft_fleet):
    """Guards against new hosts that cannot serve without the log."""
    fleet = draft_fleet
    fleet.log_service.set_faults(down=True)
    fleet.processes['draft-1'].kill()
    fleet.entries[0].kill()
    agent = fleet.restart_agent('draft-1')
    fleet.update_host_list()
    entry = fleet.start_entry('entry-c', ZONES[0])
    wait_for(lambda: is_linked(entry), 10, 'links of the new entry')
    wait_for(lambda: agent.state()['accepting'], 10, 'the new agent')
    assert not entry.state()['log_reachable']
    assert offset_of(entry) == offset_of(agent) == 0
    assert chat(entry, 'draft', 'x').status == 200


def test_suspended_zone_does_not_revert_the_others(draft_fleet):
    """Guards against old announcements that revert processes."""
    fleet = draft_fleet
    zone = [fleet.processes['draft-2'], fleet.entries[1]]
    rest = [fleet.processes['draft-1'], fleet.entries[0]]
    for process in zone:
        process.send_signal(signal.SIGSTOP)
    taken = fleet.run_ctl(
        'take-out', 'zone/zone-b', '--reason=cut off', '--nowait'
    )
    assert taken.returncode == 0, taken
    wait_for(lambda: all(offset_of(process) == 1 for process in rest), 13)
    fleet.log_service.set_faults(down=True)
    for process in zone:
        process.send_signal(signal.SIGCONT)
    while min(offset_of(process) for process in zone) < 1:
        assert [offset_of(process) for process in rest] == [1, 1]
    assert [offset_of(process) for process in rest] == [1, 1]
    agent = zone[0].state()
    assert agent['refusal'] == 'the upstream is out of service'
    assert chat(fleet.entries[1], 'draft', 'x').status == 200


def test_entry_starts_from_a_snapshot_in_the_log(fleet):
    """Guards against an entry that applies a truncated stream."""
    first = fleet.start_entry('entry-a', ZONES[0])
    assert fleet.publish({'zone/zone-a': {}}).returncode == 0
    snapshots = f'/streams/{SNAPSHOT_STREAM}?from=0&limit=1'
    wait_for(lambda: fleet.log_service.get(snapshots)['records'])
    expired = {CONFIGURATION_STREAM: 1}
    fleet.log_service.set_faults(expired={**expired, SNAPSHOT_STREAM: 1})
    first.kill()
    entry = fleet.start_entry('entry-b', ZONES[1])
    wait_for(lambda: entry.state()['needs_snapshot'])
    assert 'offset -1, waits for a snapshot' in fleet.run_ctl('status').stdout
    fleet.log_service.set_faults(expired=expired)
    wait_for(lambda: offset_of(entry) == 0)
    assert not entry.state()['needs_snapshot']


def test_changes_are_in_force_after_the_log_has_lost_records(fleet):
    """Guards against processes that go by offsets which the log reuses.

    A change that the log lost stays in force until its part is written again.
    """
    fleet.entries = [
        fleet.start_entry(f'entry-{number}', zone)
        for number, zone in enumerate(ZONES)
    ]
    fleet.update_host_list()
    parts = [{f'zone/{zone}': {}} for zone in (*ZONES, 'zone-c')]
    for part in parts:
        assert fleet.publish(part).returncode == 0
    taken = fleet.publish({'zone/zone-b': {'state': 'out', 'reason': 'x'}})
    assert taken.returncode == 0, taken
    wait_for(lambda: all(offset_of(entry) == 3 for entry in fleet.entries), 13)
    fleet.log_service.set_faults(
        restored={CONFIGURATION_STREAM: 2, SNAPSHOT_STREAM: 0}
    )
    changed = fleet.publish({'zone/zone-a': {'reason': 'changed'}})
    assert changed.returncode == 0, changed
    for entry in fleet.entries:
        state = entry.state()
        assert (state['era'], state['offset']) == (1, 2)
        assert state['retained'] == ['zone/zone-b', 'zone/zone-c']
    for zone in ('zone-b', 'zone-c'):
        assert fleet.publish({f'zone/{zone}': {}}).returncode == 0
    for entry in fleet.entries:
        assert not entry.state()['retained']


def lost_change(offset, reason, appended='lost'):
    return LogRecord(
        offset,
        150.0,
        {
            'change': f'{appended}-{offset}',
            'author': 'test',
            'reason': 'test',
            'parts': {'zone/a': {'reason': reason}},
            'against': {'zone/a': offset},
            'seen': offset - 1,
        },
    )


def reason_of(actor):
    current = actor.state_machine.current
    return current.parts['zone/a'].reason


def test_a_page_of_a_later_era_is_read_anew():
    """Guards against records of two eras in one state."""
    actor = actor_at(1)
    actor.on_receive(LogPage((), 0, 1, 200.0, era=1))
    assert actor.on_receive(ASK_READ_POSITION) == Position(1, -1)
    assert reason_of(actor) == '1'
    actor.on_receive(LogPage(RECORDS[:1], 0, 1, 201.0, era=1))
    assert actor.state_machine.position == Position(1, 0)
    assert reason_of(actor) == '1'
    assert actor.on_receive(ASK_STATE)['retained'] == ['zone/a']
    written = lost_change(1, 'new', 'written')
    actor.on_receive(LogPage((written,), 0, 2, 202.0, era=1))
    assert reason_of(actor) == 'new'
    assert not actor.on_receive(ASK_STATE)['retained']


def test_a_late_page_of_an_earlier_era_is_ignored():
    actor = actor_at(-1)
    actor.on_receive(LogPage((), 0, 1, 200.0, era=2))
    actor.on_receive(LogPage(RECORDS[:1], 0, 1, 201.0, era=2))
    actor.on_receive(LogPage((RECORDS[1],), 0, 2, 202.0, era=1))
    assert actor.state_machine.position == Position(2, 0)
    assert actor.confirmed_at == 201


def test_peers_go_by_the_era_before_the_offset():
    """Guards against peers that hold back each other from a later era."""
    actor, ahead = actor_at(1), actor_at(0)
    ahead.state_machine.era = 1
    answers = []
    actor.on_receive(PeerMessage(Announce(0, 150.0, 1), answers.append))
    assert answers == [Pull(1, 0)]
    ahead.on_receive(PeerMessage(answers.pop(), answers.append))
    actor.on_receive(PeerMessage(answers.pop(), answers.append))
    assert actor.state_machine.position == Position(1, 0)
    assert reason_of(actor) == '1'
    actor.on_receive(PeerMessage(Announce(1, 300.0), answers.append))
    assert not answers
    assert actor.confirmed_at < 300


def test_a_process_that_loses_the_log_while_reading_follows_its_peers():
    """Guards against a process that waits for the log instead of its peers."""
    actor, ahead = actor_at(1), actor_at(0)
    ahead.state_machine.era = 1
    actor.on_receive(LogPage((), 0, 1, 200.0, era=1))
    answers = []
    actor.on_receive(PeerMessage(Announce(0, 150.0, 1), answers.append))
    ahead.on_receive(PeerMessage(answers.pop(), answers.append))
    actor.on_receive(PeerMessage(answers.pop(), answers.append))
    assert actor.state_machine.position == Position(1, 0)
    assert actor.on_receive(ASK_READ_POSITION) == Position(1, 0)


def test_messages_of_the_first_era_are_those_of_earlier_versions():
    """Guards against links between two builds that break."""
    for message in (Announce(3, 1.5), Pull(3), Snapshot(3, 1.5, b'x')):
        fields = cbor2.loads(encode(message))
        assert len(fields) == len(dataclasses.fields(message))
        assert decode(encode(message)) == message
    assert decode(encode(Pull(3, 2))) == Pull(3, 2)
