"""Tests of the batching package."""
