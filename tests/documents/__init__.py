"""Tests of the component documents."""
