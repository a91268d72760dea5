"""Shared code without a domain; a helper imports no component."""
