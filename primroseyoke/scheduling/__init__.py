"""Decisions on which request runs next, and where."""
