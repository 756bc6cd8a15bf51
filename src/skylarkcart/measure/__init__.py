"""Benchmark scenarios that compare the system with a baseline."""
