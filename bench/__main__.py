"""Runs the given benchmarks, or all of them: ``python -m bench [NAME ...]``."""

import importlib
import pkgutil
import sys

import bench


def main():
    found = sorted(
        module.name
        for module in pkgutil.iter_modules(bench.__path__)
        if not module.name.startswith('_') and module.name != 'figures'
    )
    for name in sys.argv[1:] or found:
        importlib.import_module(f'bench.{name}').main()


if __name__ == '__main__':
    main()
