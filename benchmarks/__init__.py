"""Benchmarks that are run by hand from the repository root."""
