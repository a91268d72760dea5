"""Tests of hornbeamline.decisions."""
