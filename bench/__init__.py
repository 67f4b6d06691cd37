"""Benchmarks; each runs as one command with a fixed random seed."""
