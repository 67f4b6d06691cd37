"""Shows the main job on a small deployment of two availability zones."""

import sys
import time

from tests.fleet import Fleet, call, chat, chat_text, wait_for

ZONES = ('ro-centru-a', 'ro-centru-b')
OPERATION_SECONDS = 10


class Demo:
    """Runs the steps and counts what was not seen."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.missing = 0

    def run(self):
        fleet = self.fleet
        fleet.add_service(
            'model-foi', 'model', ZONES, tokens=30, token_delay=0.01
        )
        fleet.add_service('birou-app', 'plain', ZONES, ['POST /invoices'])
        entries = [fleet.start_entry(f'entry-{zone}', zone) for zone in ZONES]
        published = fleet.publish()
        self.see('configuration in force', published.returncode == 0)
        for entry in entries:
            wait_for(lambda entry=entry: linked(entry), 10, 'links')
        self.show_draft(entries[0])
        self.show_lookup(entries[1])
        self.show_posting(entries)
        self.show_zone(entries[0])

    def show_draft(self, entry):
        response = chat(entry, 'model-foi', 'fault note')
        text = chat_text(response)
        whole = response.status == 200 and text.endswith('29 fault note')
        self.see(f'streamed draft of {len(text)} characters', whole)

    def show_lookup(self, entry):
        response = call(entry, 'GET', '/services/birou-app/sheets/17')
        self.see(f'lookup: {response.data.decode()}', response.status == 200)

    def show_posting(self, entries):
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
        same = len({answer.data for answer in answers}) == 1
        replayed = answers[1].headers.get('Idempotent-Replayed') == 'true'
        calls = [
            posting
            for name, process in self.fleet.processes.items()
            if name.startswith('birou-app') and name.endswith('-upstream')
            for posting in process.get('/calls')
            if posting[0] == 'POST'
        ]
        seen = same and replayed and len(calls) == 1
        self.see(f'posting sent twice, ran {len(calls)} time(s)', seen)

    def show_zone(self, entry):
        out = self.fleet.run_ctl(
            'take-out', f'zone/{ZONES[1]}', '--reason=demo'
        )
        self.see(
            f'zone {ZONES[1]} out: {out.stdout.strip()}', not out.returncode
        )
        before = self.completed('model-foi-2')
        ok = all(chat(entry, 'model-foi', 'x').status == 200 for _ in range(6))
        quiet = self.completed('model-foi-2') == before
        self.see('drafts served by the other zone only', ok and quiet)
        back = self.fleet.run_ctl(
            'bring-back',
            f'zone/{ZONES[1]}',
            '--reason=demo over',
        )
        self.see(f'zone {ZONES[1]} back', not back.returncode)
        other = self.fleet.processes[f'entry-{ZONES[1]}']

        def serves():
            chat(other, 'model-foi', 'y')
            return self.completed('model-foi-2') > before

        # The entry hears within half a second that the agent takes work again.
        seconds = wait_for(serves)
        self.see(f'the zone serves drafts again after {seconds:.1f} s', True)

    def completed(self, upstream):
        return self.fleet.processes[f'{upstream}-upstream'].get('/calls_count')

    def see(self, what, seen):
        self.missing += not seen
        sys.stdout.write(f'{"ok  " if seen else "FAIL"} {what}\n')
        sys.stdout.flush()


def linked(entry):
    links = entry.state()['links']
    return links and all(link['up'] for link in links.values())


def main():
    started = time.monotonic()
    with Fleet() as fleet:
        demo = Demo(fleet)
        demo.run()
    elapsed = time.monotonic() - started
    sys.stdout.write(f'{demo.missing} missing, {elapsed:.1f} s\n')
    sys.exit(1 if demo.missing else 0)


if __name__ == '__main__':
    main()
