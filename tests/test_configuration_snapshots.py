"""Snapshots in the log, and reading a log with expired records."""

import base64
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from primroseyoke import ctl
from primroseyoke.configuration import ConfigurationStateMachine, Outcome
from primroseyoke.exceptions import ConfigurationInvalid, ServiceUnavailable
from primroseyoke.operator_client import OperatorClient
from primroseyoke.log_service import LogService
from primroseyoke.configuration_snapshots import (
    CONFIGURATION_STREAM,
    RENEWAL_INTERVAL_SECONDS,
    SNAPSHOT_STREAM,
    SnapshotWriter,
    StoredSnapshot,
    compress_state,
    read_configuration_stream,
    read_newest_snapshot,
)
from tests.standins.log_service import LogService as LogServiceStandIn


@pytest.fixture
def standin():
    started = LogServiceStandIn().start()
    yield started
    started.stop()


@pytest.fixture
def service(standin):
    return LogService(standin.address)


def operator(standin):
    return OperatorClient(LogService(standin.address), None, 'test')


def read_to_end(state_machine, service):
    """Read to the end of the log; return the last page."""
    found = None
    for found in read_configuration_stream(service, state_machine.offset + 1):
        if isinstance(found, StoredSnapshot):
            state_machine.restore(found.content)
        else:
            for entry in found.records:
                state_machine.apply_log_entry(
                    entry.offset, entry.appended_at, entry.content
                )
    return found


def publish_zones(standin, count):
    publisher = operator(standin)
    for number in range(count):
        publisher.publish({f'zone/z{number}': {}}, 'test')
    return publisher.state_machine


def writer_of(state_machine, service):
    return SnapshotWriter(
        service,
        lambda: (
            state_machine.offset,
            compress_state(state_machine.snapshot()),
        ),
    )


def test_reader_of_a_log_with_expired_records_gets_the_same_state(
    standin, service
):
    """Guards against a state without the effect of expired records.

    Eight writers append concurrently, and any of their snapshots may be read.
    """
    publish_zones(standin, 3)
    standin.faults['expired'] = {CONFIGURATION_STREAM: 2}
    with pytest.raises(ServiceUnavailable, match='begins at offset 2'):
        operator(standin).refresh()
    standin.faults['expired'] = {}
    early = ConfigurationStateMachine()
    page = read_to_end(early, service)
    writer = writer_of(early, service)
    with ThreadPoolExecutor(8) as executor:
        list(executor.map(writer.write_if_due, [page] * 8))
    publish_zones(standin, 3)
    read_to_end(early, service)
    standin.faults['expired'] = {CONFIGURATION_STREAM: 3}
    late = ConfigurationStateMachine()
    read_to_end(late, service)
    assert late.offset == 5
    assert late.snapshot() == early.snapshot()


def test_snapshots_are_retained_but_rarely_written(standin, service):
    """Guards against a log without a snapshot, also if it is idle."""
    state_machine = publish_zones(standin, 20)
    writer = writer_of(state_machine, service)
    covered = set()
    for _ in range(20):
        publish_zones(standin, 1)
        page = read_to_end(state_machine, service)
        writer.write_if_due(page)
        covered.add(writer.covered_offset)
        assert (page.next - 1 - writer.covered_offset) * 4 < page.next
    assert 2 <= len(covered) <= 4
    writer.appended_at -= RENEWAL_INTERVAL_SECONDS + 1
    standin.faults['expired'] = {SNAPSHOT_STREAM: len(covered)}
    writer.write_if_due(page)
    assert read_newest_snapshot(service).offset == state_machine.offset


def encode_state(content):
    return base64.b64encode(compress_state(content)).decode()


@pytest.mark.parametrize(
    'invalid_content',
    [
        None,
        {'offset': 2, 'content': '!'},
        {'offset': 2, 'content': encode_state(b'x')},
        {'offset': 2, 'content': encode_state(bytes(2**25))},
        {
            'offset': 9,
            'content': encode_state(ConfigurationStateMachine().snapshot()),
        },
    ],
)
def test_invalid_snapshot_records_are_skipped(
    standin, service, invalid_content
):
    """Guards against an invalid record that blocks every new process."""
    state_machine = publish_zones(standin, 3)
    writer_of(state_machine, service).write_if_due(
        service.read(CONFIGURATION_STREAM, 3)
    )
    service.append(SNAPSHOT_STREAM, invalid_content)
    standin.faults['expired'] = {CONFIGURATION_STREAM: 3}
    late = ConfigurationStateMachine()
    read_to_end(late, service)
    assert late.snapshot() == state_machine.snapshot()


@pytest.mark.parametrize(
    'undecodable', [r'"\ud800"', '1e400', 'NaN', '{"a":1e999}']
)
def test_undecodable_entry_does_not_hide_the_others(
    standin, service, undecodable
):
    """Guards against one entry that makes the stream unreadable."""
    publish_zones(standin, 1)
    url = f'http://{standin.address}/streams/{CONFIGURATION_STREAM}'
    urllib3.request('POST', url, body=undecodable)
    publish_zones(standin, 2)
    state_machine = ConfigurationStateMachine()
    read_to_end(state_machine, service)
    assert state_machine.offset == 3
    assert state_machine.accepted_offset == 3


@pytest.mark.parametrize('answer', [{}, {'records': 5}, [], 'x'])
def test_malformed_response_counts_as_unavailable(standin, service, answer):
    """Guards against a reader thread that ends on a malformed response."""
    standin.handle = lambda handler: handler.reply(200, answer)
    with pytest.raises(ServiceUnavailable):
        service.read(CONFIGURATION_STREAM, 0)
    with pytest.raises(ServiceUnavailable):
        service.append(CONFIGURATION_STREAM, {})


def test_change_whose_append_response_is_lost_is_applied_once(standin):
    """Guards against a change applied twice, or reported as lost."""
    publisher = operator(standin)
    standin.faults['drop_responses'] = 2
    published = publisher.publish({'zone/a': {}}, 'test')
    assert published.decision.outcome is Outcome.ACCEPTED
    assert len(standin.streams[CONFIGURATION_STREAM]) == 3
    assert publisher.state_machine.accepted_offset == published.offset == 0


def test_slower_of_two_concurrent_operators_learns_which_part_changed(standin):
    """Guards against a change that silently overwrites another."""
    first, second = operator(standin), operator(standin)
    append = first.log_service.append

    def append_after_the_other(stream, content):
        second.publish({'zone/a': {'state': 'out'}}, 'second')
        return append(stream, content)

    first.log_service.append = append_after_the_other
    lost = first.publish({'zone/a': {}, 'zone/b': {}}, 'first')
    assert lost.decision.outcome is Outcome.STALE
    assert lost.decision.detail == 'zone/a is at version 1, not 0'
    first.log_service.append = append
    first.refresh()
    assert first.state_machine.raw == {'zone/a': {'state': 'out'}}
    first.publish({'zone/b': {}}, 'again')
    assert standin.streams[CONFIGURATION_STREAM][-1]['content']['seen'] == 1
    late = first.check({'zone/a': {}}, 'late', seen=-1)
    assert late.outcome is Outcome.STALE
    assert late.detail == 'zone/a was changed at offset 0, after -1'


def test_take_out_does_not_overwrite_another_change(standin, monkeypatch):
    """Guards against writing back an outdated value of a part."""
    monkeypatch.setattr(ctl, '_required_reason', lambda: 'test')
    first, second = operator(standin), operator(standin)
    old = dict(service='app', availability_zone='a', agent='127.0.0.1:80')
    parts = {'service/app': {'kind': 'plain'}, 'upstream/u': old}
    first.publish(parts, 'first')
    publish = first.publish

    def publish_after_the_other(*arguments):
        moved = {**old, 'agent': '127.0.0.2:80'}
        second.publish({'upstream/u': moved}, 'second')
        return publish(*arguments)

    first.publish = publish_after_the_other
    with pytest.raises(ConfigurationInvalid, match='changed at offset 1'):
        ctl.Command(first).take_out('upstream/u')
