"""Roles, intervals and limits of the directory."""

from __future__ import annotations

from typing import Final

ROLE_CONTROL: Final = 'control'
ROLE_ENTRY: Final = 'entry'

# A document must be in force within 2 s of its commit, even if its push was
# lost.
ENROL_INTERVAL_S: Final = 0.4
# Control processes that a process asks for full replies. Reply size grows
# with the fleet, so only a few are asked; two tolerate the loss of one.
PRESENT_SOURCES: Final = 2
ENROL_TIMEOUT_S: Final = 0.8
# A process is suspected when no control process has heard from it for this
# long: one enrolment was lost and the next one is late as well.
SUSPECT_AFTER_S: Final = ENROL_INTERVAL_S + ENROL_TIMEOUT_S + 0.1
# A process that was silent for longer (four lost enrolments) is not present
# and gets no new shared work.
PRESENCE_SILENCE_S: Final = 1.6

# A process is overdue when its last enrolment is older than this. Replies omit
# the ages of processes that are neither changed nor overdue.
OVERDUE_S: Final = 1.5 * ENROL_INTERVAL_S
# The loads of all processes are summed at most once per interval, for all
# replies. It is a quarter of the interval at which a process enrols.
SUM_INTERVAL_S: Final = 0.1
