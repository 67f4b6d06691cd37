"""Output format of benchmark results, one line per figure."""

import sys


def report(name, value, unit, baseline=None):
    """Print a figure and, if there is one, its baseline and their ratio."""
    line = f'figure={name} value={value:.6g} unit={unit}'
    if baseline is not None:
        ratio = value / baseline if baseline else float('nan')
        line += f' baseline={baseline:.6g} ratio={ratio:.4g}'
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
