"""Soak of the programs that run on the municipal platform."""
