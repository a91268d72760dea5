"""Tests of the view of live and leaving targets."""
