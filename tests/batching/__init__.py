"""Tests of the component batching."""
