"""Load balancing for expert-parallel model groups."""

__version__ = '0.1.0'
