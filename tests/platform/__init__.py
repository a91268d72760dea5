"""Tests of `hornbeamline.platform`."""
