"""Repeatable measurements; results stand in docs/measurements-*.md."""
