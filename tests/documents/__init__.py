"""Tests of numbered configuration documents."""
