"""Errors of the quarantine."""

from __future__ import annotations

from hornbeamline.exceptions import QuarantineError


class PartQuarantinedError(QuarantineError):
    """A request has a prompt part that is in quarantine."""

    def __init__(self, part: str, left_s: float) -> None:
        """Create an error; the part is held for `left_s` more seconds."""
        super().__init__(f'prompt part {part} crashes engines')
        self.part = part
        self.left_s = left_s
