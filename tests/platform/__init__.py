"""Tests of the component platform."""
