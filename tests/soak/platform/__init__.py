"""Soak tests of the processes that run on the municipal platform."""
