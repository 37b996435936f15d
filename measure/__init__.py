"""Benchmarks of this project; each figure is a median and a range over several runs."""
