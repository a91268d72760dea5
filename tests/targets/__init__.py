"""Tests of hornbeamline.targets."""
