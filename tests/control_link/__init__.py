"""Tests of calls to the leader."""
