"""Tests of the component gateway."""
