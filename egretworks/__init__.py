"""Distribute the configuration of a service mesh and forward its calls."""

__version__ = "0.1.0"
