"""Adapter to the deployment platform: the only package with its names."""
