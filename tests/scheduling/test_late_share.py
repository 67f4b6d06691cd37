"""Share of the slots that late requests may hold."""

from primroseyoke.scheduling.late_share import LateShare

HOST_COUNT = 30
SLOT_COUNT = 315


def test_callers_that_return_after_an_outage_leave_slots_to_others() -> None:
    """Guards against a wave of late responses after an outage.

    Pattern: several hundred refused callers return at once to 30 hosts, in the
    moment in which a group with 315 slots serves again.
    """
    hosts = [LateShare() for _ in range(HOST_COUNT)]
    started = 0
    for returned in range(600):
        host = hosts[returned % HOST_COUNT]
        if host.allows('model', SLOT_COUNT, HOST_COUNT):
            host.record_start('model')
            started += 1
    assert 0.4 * SLOT_COUNT <= started <= 0.5 * SLOT_COUNT


def test_each_late_request_that_ends_makes_room_for_the_next() -> None:
    share = LateShare()
    while share.allows('model', SLOT_COUNT, HOST_COUNT):
        share.record_start('model')
    assert share.allows('other', SLOT_COUNT, HOST_COUNT)
    share.record_end('model')
    assert share.allows('model', SLOT_COUNT, HOST_COUNT)


def test_one_late_request_is_allowed_however_many_hosts_there_are() -> None:
    """Guards against callers that are never served by a large deployment."""
    assert LateShare().allows('model', 10, 390)
