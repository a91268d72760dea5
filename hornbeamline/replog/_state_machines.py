"""Registry of the state machines that the log drives."""

from __future__ import annotations

from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.replog._entries import Entry, Snapshot
from hornbeamline.replog._interface import ReplicatedStateMachine
from hornbeamline.replog.const import ENTRY_COMMAND
from hornbeamline.replog.errors import LogStoppedError


class StateMachines:
    """The state machines of one node, by name."""

    def __init__(self) -> None:
        """Initialize an empty registry."""
        self._machines_by_name: dict[str, ReplicatedStateMachine] = {}

    def register(self, name: str, machine: ReplicatedStateMachine) -> None:
        """Register a state machine.

        Raises `ReplicatedLogError` if the name is taken.
        """
        if name in self._machines_by_name:
            # Part of replies to operators, so the text stays.
            raise ReplicatedLogError(f'machine {name} is already registered')
        self._machines_by_name[name] = machine

    def __contains__(self, name: object) -> bool:
        """Return whether a state machine has this name."""
        return name in self._machines_by_name

    def apply(self, index: int, entry: Entry) -> bytes:
        """Apply a committed entry.

        Raises `LogStoppedError` if the state machine is unknown or fails.
        This stops the node, since the state after the error may differ
        from that of the other nodes.
        """
        if entry.kind != ENTRY_COMMAND:
            return b''
        machine = self._machines_by_name.get(entry.machine)
        if machine is None:
            # Part of replies to operators, so the text stays.
            raise LogStoppedError(
                f'entry {index} is for the unknown machine {entry.machine}',
            )
        try:
            return machine.apply(index, entry.command)
        except Exception as error:
            # Part of replies to operators, so the text stays.
            raise LogStoppedError(
                f'machine {entry.machine} failed at entry {index}: {error!r}',
            ) from error

    def states(self) -> dict[str, bytes]:
        """Return the states of the state machines, except empty ones.

        Raises `LogStoppedError` if a state machine fails.
        """
        states: dict[str, bytes] = {}
        for name, machine in self._machines_by_name.items():
            try:
                state = machine.snapshot()
            except Exception as error:
                # Part of replies to operators, so the text stays.
                raise LogStoppedError(
                    f'machine {name} gave no snapshot: {error!r}',
                ) from error
            if state:
                states[name] = state
        return states

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the states by those of a snapshot.

        Raises `LogStoppedError` if a state machine is unknown or fails.
        """
        unknown = snapshot.states_by_machine.keys() - self._machines_by_name
        if unknown:
            # Part of replies to operators, so the text stays.
            raise LogStoppedError(
                f'snapshot is for unknown machines: {sorted(unknown)}',
            )
        for name, state in snapshot.states_by_machine.items():
            try:
                self._machines_by_name[name].restore(state)
            except Exception as error:
                # Part of replies to operators, so the text stays.
                raise LogStoppedError(
                    f'machine {name} refused a snapshot: {error!r}',
                ) from error
