"""Tests against clients that send more than the process can hold."""
