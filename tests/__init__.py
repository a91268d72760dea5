"""Tests of hornbeamline."""
