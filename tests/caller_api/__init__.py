"""Tests of hornbeamline.caller_api."""
