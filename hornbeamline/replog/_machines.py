"""Registered machines and what the log does to them."""

from __future__ import annotations

from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.replog._entries import Entry, Snapshot
from hornbeamline.replog._interface import ReplicatedMachine
from hornbeamline.replog.const import ENTRY_COMMAND
from hornbeamline.replog.errors import LogStoppedError


class Machines:
    """The state machines of one voter by name."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._machines_by_name: dict[str, ReplicatedMachine] = {}

    def register(self, name: str, machine: ReplicatedMachine) -> None:
        """Add a machine; raises `ReplicatedLogError` for a taken name."""
        if name in self._machines_by_name:
            raise ReplicatedLogError(f'machine {name} is already registered')
        self._machines_by_name[name] = machine

    def __contains__(self, name: object) -> bool:
        """Return whether a machine has this name."""
        return name in self._machines_by_name

    def apply(self, index: int, entry: Entry) -> bytes:
        """Apply a committed entry; raises `LogStoppedError`.

        A machine that raises stops the voter: its state after the error is
        not known to equal that of the other voters.
        """
        if entry.kind != ENTRY_COMMAND:
            return b''
        machine = self._machines_by_name.get(entry.machine)
        if machine is None:
            raise LogStoppedError(
                f'entry {index} is for the unknown machine {entry.machine}',
            )
        try:
            return machine.apply(index, entry.command)
        except Exception as error:
            raise LogStoppedError(
                f'machine {entry.machine} failed at entry {index}: {error!r}',
            ) from error

    def states(self) -> dict[str, bytes]:
        """Return the states of all machines; raises `LogStoppedError`."""
        states: dict[str, bytes] = {}
        for name, machine in self._machines_by_name.items():
            try:
                states[name] = machine.snapshot()
            except Exception as error:
                raise LogStoppedError(
                    f'machine {name} gave no snapshot: {error!r}',
                ) from error
        return states

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all states; raises `LogStoppedError`."""
        unknown = snapshot.states_by_machine.keys() - self._machines_by_name
        if unknown:
            raise LogStoppedError(
                f'snapshot is for unknown machines: {sorted(unknown)}',
            )
        for name, state in snapshot.states_by_machine.items():
            try:
                self._machines_by_name[name].restore(state)
            except Exception as error:
                raise LogStoppedError(
                    f'machine {name} refused a snapshot: {error!r}',
                ) from error
