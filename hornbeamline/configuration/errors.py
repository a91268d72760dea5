"""Errors of the configuration."""

from __future__ import annotations

from hornbeamline.exceptions import ConfigurationError


class NoConfigurationError(ConfigurationError):
    """No configuration has been received yet."""


class RefusedRevisionError(ConfigurationError):
    """A renewal's answer cannot replace the configuration in force."""
