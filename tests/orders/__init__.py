"""Tests of orders to model engines."""
