"""Entry point of ``python -m primroseyoke.platform``; runs the gateway."""

from .program import main

main()
