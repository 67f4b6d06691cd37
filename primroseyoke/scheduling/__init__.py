"""Scheduling decisions: pure functions of the load, with the time passed in."""
