"""Tests of hornbeamline.pipeline."""
