"""Demonstrates the main features on a deployment of two availability zones."""

import sys
import time

from tests.fleet import Fleet, call, chat, chat_text, wait_for

ZONES = ('ro-centru-a', 'ro-centru-b')
OPERATION_SECONDS = 10


class Demo:
    """Runs the steps of the demo and counts failed checks."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.failed_checks = 0

    def run(self):
        fleet = self.fleet
        fleet.add_service(
            'model-foi', 'model', ZONES, tokens=30, token_delay=0.01
        )
        fleet.add_service('birou-app', 'plain', ZONES, ['POST /invoices'])
        entries = [fleet.start_entry(f'entry-{zone}', zone) for zone in ZONES]
        published = fleet.publish()
        self.check('configuration in force', published.returncode == 0)
        for entry in entries:
            wait_for(lambda entry=entry: has_all_links_up(entry), 10, 'links')
        self.check_draft(entries[0])
        self.check_lookup(entries[1])
        self.check_posting(entries)
        self.check_zone_move(entries[0])

    def check_draft(self, entry):
        response = chat(entry, 'model-foi', 'fault note')
        text = chat_text(response)
        is_complete = response.status == 200 and text.endswith('29 fault note')
        self.check(f'streamed draft of {len(text)} characters', is_complete)

    def check_lookup(self, entry):
        response = call(entry, 'GET', '/services/birou-app/sheets/17')
        self.check(f'lookup: {response.data.decode()}', response.status == 200)

    def check_posting(self, entries):
        issued = call(entries[0], 'POST', '/keys/birou-app').json()['key']
        answers = [
            call(
                entry,
                'POST',
                '/services/birou-app/invoices',
                body=b'invoice 4711',
                headers={'Idempotency-Key': issued},
            )
            for entry in entries
        ]
        is_same_answer = len({answer.data for answer in answers}) == 1
        is_replayed = answers[1].headers.get('Idempotent-Replayed') == 'true'
        calls = [
            posting
            for name, process in self.fleet.processes.items()
            if name.startswith('birou-app') and name.endswith('-upstream')
            for posting in process.get('/calls')
            if posting[0] == 'POST'
        ]
        is_executed_once = is_same_answer and is_replayed and len(calls) == 1
        self.check(
            f'posting sent twice, ran {len(calls)} time(s)', is_executed_once
        )

    def check_zone_move(self, entry):
        out = self.fleet.run_ctl(
            'take-out', f'zone/{ZONES[1]}', '--reason=demo'
        )
        self.check(
            f'zone {ZONES[1]} out: {out.stdout.strip()}', not out.returncode
        )
        before = self.completed_count('model-foi-2')
        ok = all(chat(entry, 'model-foi', 'x').status == 200 for _ in range(6))
        is_unused = self.completed_count('model-foi-2') == before
        self.check('drafts served by the other zone only', ok and is_unused)
        back = self.fleet.run_ctl(
            'bring-back',
            f'zone/{ZONES[1]}',
            '--reason=demo over',
        )
        self.check(f'zone {ZONES[1]} back', not back.returncode)
        other = self.fleet.processes[f'entry-{ZONES[1]}']

        def is_serving():
            chat(other, 'model-foi', 'y')
            return self.completed_count('model-foi-2') > before

        # The agent reports within half a second that it accepts requests again.
        seconds = wait_for(is_serving)
        self.check(f'the zone serves drafts again after {seconds:.1f} s', True)

    def completed_count(self, upstream):
        return self.fleet.processes[f'{upstream}-upstream'].get('/calls_count')

    def check(self, description, is_passed):
        self.failed_checks += not is_passed
        sys.stdout.write(f'{"ok  " if is_passed else "FAIL"} {description}\n')
        sys.stdout.flush()


def has_all_links_up(entry):
    links = entry.state()['links']
    return links and all(link['up'] for link in links.values())


def main():
    started = time.monotonic()
    with Fleet() as fleet:
        demo = Demo(fleet)
        demo.run()
    elapsed = time.monotonic() - started
    sys.stdout.write(f'{demo.failed_checks} failed checks, {elapsed:.1f} s\n')
    sys.exit(1 if demo.failed_checks else 0)


if __name__ == '__main__':
    main()
