"""Tests of the configuration and of its operator interface."""
