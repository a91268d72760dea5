"""Errors of the configuration."""

from __future__ import annotations

from hornbeamline.exceptions import ConfigurationError


class NoConfigurationError(ConfigurationError):
    """No configuration has been received yet."""


class RefusedRevisionError(ConfigurationError):
    """The answer to a renewal cannot replace the active configuration."""
