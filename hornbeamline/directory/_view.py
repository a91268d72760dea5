"""Present processes, derived from the replies of control processes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hornbeamline.directory._loads import ProcessLoad
from hornbeamline.directory._messages import (
    Position,
    Presence,
    PresentChanges,
)
from hornbeamline.directory.const import PRESENCE_SILENCE_S, SUSPECT_AFTER_S
from hornbeamline.helpers.clock import Clock


class _Description(NamedTuple):
    presence: Presence
    # When a control process last heard this description.
    heard_at: float


class _Report(NamedTuple):
    """When a control process reported a process and last heard from it."""

    reported_at: float
    heard_at: float


class _Source(NamedTuple):
    """State of the processes as one control process reports it."""

    position: Position
    names: frozenset[str]
    ages_s_by_name: dict[str, float]
    # Sum over all processes except this one.
    load: ProcessLoad
    # When the last request was sent and when its reply arrived.
    requested_at: float
    replied_at: float

    def report(self, name: str) -> _Report:
        """Return the last report on one of the `names`."""
        heard_at = self.requested_at - self.ages_s_by_name.get(name, 0)
        return _Report(self.replied_at, heard_at)


class _CacheKey(NamedTuple):
    """Inputs of the cached result of `PresentView.present`."""

    changes: int
    sources: tuple[str, ...]
    # Processes that a control process has recently ceased to report.
    gone: tuple[str, ...]


class PresentView:
    """View of the present processes, merged from several control processes.

    A process is present while one of them reports it and for
    `PRESENCE_SILENCE_S` after.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a view without any process."""
        self._clock = clock
        self._sources_by_control: dict[str, _Source] = {}
        self._descriptions_by_name: dict[str, _Description] = {}
        # Last reports on processes that a control process has removed.
        self._last_reports_by_name: dict[str, _Report] = {}
        # Number of replies with changes.
        self._change_count = 0
        self._cache_key: _CacheKey | None = None
        self._present: tuple[Presence, ...] = ()

    def present(self) -> Sequence[Presence]:
        """Return the processes that were heard from recently.

        The same object is returned until something changes.
        """
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        cache_key = _CacheKey(
            self._change_count,
            tuple(
                control
                for control, source in self._sources_by_control.items()
                if source.replied_at >= oldest
            ),
            tuple(
                name
                for name, report in self._last_reports_by_name.items()
                if report.reported_at >= oldest
            ),
        )
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._present = self._collect(cache_key)
        return self._present

    def others_load(self) -> ProcessLoad:
        """Return the load of all other processes.

        A control process that is partitioned from some hosts lacks their
        load, so the one that reports the most processes is used.
        """
        sources = self._fresh_sources()
        if not sources:
            return ProcessLoad()
        return max(sources, key=lambda source: len(source.names)).load

    def suspected(self) -> frozenset[str]:
        """Return the processes that are reported, but no longer heard from."""
        suspects = set(self._last_reports_by_name)
        for source in self._sources_by_control.values():
            suspects |= source.ages_s_by_name.keys()
        return frozenset(name for name in suspects if self.is_suspected(name))

    def is_suspected(self, name: str) -> bool:
        """Return whether a process is reported, but no longer heard from."""
        reports = [
            source.report(name)
            for source in self._fresh_sources()
            if name in source.names
        ]
        last = self._last_reports_by_name.get(name)
        if last is not None:
            reports.append(last)
        if not reports:
            return False
        reported_at = max(report.reported_at for report in reports)
        return (
            reported_at - max(found.heard_at for found in reports)
            > SUSPECT_AFTER_S
        )

    def position_at(self, control: str) -> Position | None:
        """Return the position in the changes of a control process."""
        source = self._sources_by_control.get(control)
        return None if source is None else source.position

    def may_be_durable(self, control: str) -> bool:
        """Return whether a control process may have a disk.

        Only control processes with a disk read the list of targets.
        Unknown processes may have one.
        """
        known = self._descriptions_by_name.get(control)
        return known is None or known.presence.is_durable

    def described(self, names: Iterable[str]) -> list[Presence]:
        """Return the last presences of those processes that have one."""
        found = map(self._descriptions_by_name.get, sorted(names))
        return [known.presence for known in found if known is not None]

    def apply_changes(
        self,
        control: str,
        changes: PresentChanges,
        requested_at: float,
    ) -> None:
        """Apply the changes that a control process replied to a request.

        `requested_at` is the monotonic time at which the request was sent.
        """
        previous = self._sources_by_control.get(control)
        names = {presence.name for presence in changes.changed}
        if previous is not None and not changes.is_whole:
            names |= previous.names - set(changes.gone)
        source = _Source(
            changes.position,
            frozenset(names),
            changes.ages_s_by_name,
            changes.load,
            requested_at,
            self._clock.monotonic(),
        )
        self._sources_by_control[control] = source
        if changes.changed or changes.gone or changes.is_whole:
            self._change_count += 1
        if previous is not None:
            self._keep_last_reports(previous, previous.names - names)
        for presence in changes.changed:
            self._update_description(presence, source)

    def _collect(self, cache_key: _CacheKey) -> tuple[Presence, ...]:
        names = set(cache_key.gone)
        for control in cache_key.sources:
            names |= self._sources_by_control[control].names
        return tuple(
            self._descriptions_by_name[name].presence for name in sorted(names)
        )

    def _fresh_sources(self) -> list[_Source]:
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        return [
            source
            for source in self._sources_by_control.values()
            if source.replied_at >= oldest
        ]

    def _update_description(self, presence: Presence, source: _Source) -> None:
        heard_at = source.report(presence.name).heard_at
        known = self._descriptions_by_name.get(presence.name)
        # Another control process may have sent a newer description.
        if known is None or known.heard_at <= heard_at:
            self._descriptions_by_name[presence.name] = _Description(
                presence,
                heard_at,
            )

    def _keep_last_reports(
        self, previous: _Source, gone: Iterable[str]
    ) -> None:
        """Keep the last reports on removed processes until they expire."""
        for name in gone:
            self._last_reports_by_name[name] = previous.report(name)
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        for known, report in tuple(self._last_reports_by_name.items()):
            if report.reported_at >= oldest:
                continue
            self._last_reports_by_name.pop(known)
            if not any(
                known in source.names
                for source in self._sources_by_control.values()
            ):
                self._descriptions_by_name.pop(known, None)
