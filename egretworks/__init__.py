"""Distribute configuration across a service mesh and carry its calls."""

__version__ = "0.1.0"
