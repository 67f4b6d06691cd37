"""Runs the gateway: ``python -m primroseyoke.platform``."""

from .program import main

main()
