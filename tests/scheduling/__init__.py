"""Tests of the decisions on which request runs next, and where."""
