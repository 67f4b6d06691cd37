"""Measurements, each one command with a fixed seed."""
