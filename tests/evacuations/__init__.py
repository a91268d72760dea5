"""Tests of evacuations."""
