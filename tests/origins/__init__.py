"""Tests of the versions that began streams."""
