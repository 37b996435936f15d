"""Measure this project's own code, each figure as a median and a range over runs."""
