"""Tests of hornbeamline.standins."""
