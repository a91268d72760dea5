"""Linearizability check of a history against a sequential model.

The algorithm is a depth-first search over linearization points that caches
visited pairs of linearized set and state (J. M. Wing and C. Gong, 1993;
G. Lowe, 2017).
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, Sequence
from typing import Final, NamedTuple, Protocol

from hornbeamline.exceptions import HornbeamlineError
from hornbeamline.history._operation import NEVER_ENDED, Operation

MAX_VISITED: Final = 2_000_000


class HistoryTooLargeError(HornbeamlineError):
    """The search exceeds its bound, so the result is undecided."""


class Model(Protocol):
    """Sequential specification of operations."""

    def initial(self) -> Hashable:
        """Return the state before the first operation."""

    def step(self, state: Hashable, operation: Operation) -> Hashable | None:
        """Return the state after an operation.

        Returns None when the model does not allow the operation's result in
        this state. An unknown result is always allowed.
        """


class _Point(NamedTuple):
    # Bit mask of the linearized operations by index.
    linearized: int
    state: Hashable


def is_linearizable(
    history: Iterable[Operation],
    model: Model,
    max_visited: int = MAX_VISITED,
) -> bool:
    """Return whether a history is linearizable.

    It is when the model allows some order of the operations that respects
    all their intervals. Operations with an unknown result may take effect
    or not. Raises `HistoryTooLargeError` after `max_visited` search points.
    """
    operations = sorted(history, key=lambda operation: operation.began_s)
    required = sum(
        1 << index
        for index, operation in enumerate(operations)
        if operation.is_known
    )
    start = _Point(0, model.initial())
    visited = {start}
    stack = [start]
    while stack:
        point = stack.pop()
        if point.linearized & required == required:
            return True
        for successor in _successors(point, operations, model):
            if successor not in visited:
                visited.add(successor)
                stack.append(successor)
        if len(visited) > max_visited:
            raise HistoryTooLargeError(f'more than {max_visited} points')
    return False


def _successors(
    point: _Point,
    operations: Sequence[Operation],
    model: Model,
) -> Iterator[_Point]:
    for index in _candidates(point.linearized, operations):
        state = model.step(point.state, operations[index])
        if state is not None:
            yield _Point(point.linearized | (1 << index), state)


def _candidates(
    linearized: int,
    operations: Sequence[Operation],
) -> list[int]:
    """Return the indices of operations that may be linearized next.

    These began no later than the first end among those not yet linearized.
    """
    open_operations: list[tuple[int, Operation]] = []
    first_end = NEVER_ENDED
    for index, operation in enumerate(operations):
        if operation.began_s > first_end:
            break
        if not linearized >> index & 1:
            open_operations.append((index, operation))
            first_end = min(first_end, operation.ended_s)
    return [
        position
        for position, candidate in open_operations
        if candidate.began_s <= first_end
    ]
