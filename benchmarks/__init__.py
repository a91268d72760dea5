"""Measurements that run from the repository root."""
