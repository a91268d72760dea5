"""Plot of a load run."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Final

from hornbeamline.load._types import Ending, EndingKind

_MS_PER_S: Final = 1000


def write_plot(endings: list[Ending], path: Path) -> None:
    """Plot latencies and the kinds of outcomes per second.

    The suffix of the path determines the format; the default is PNG.
    """
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot as plt

    figure, (upper, lower) = plt.subplots(2, 1, sharex=True, figsize=(9, 6))
    answered = [
        ending for ending in endings if ending.kind is EndingKind.answered
    ]
    upper.scatter(
        [ending.began_s for ending in answered],
        [ending.duration_s * _MS_PER_S for ending in answered],
        s=4,
    )
    upper.set_ylabel('latency of answers (ms)')
    for kind, counts in _per_second(endings).items():
        lower.plot(
            sorted(counts),
            [counts[second] for second in sorted(counts)],
            label=kind,
        )
    lower.set_ylabel('requests per second')
    lower.set_xlabel('start of the request (s)')
    lower.legend()
    figure.savefig(path)
    plt.close(figure)


def _per_second(endings: list[Ending]) -> dict[str, dict[int, int]]:
    counts: defaultdict[str, defaultdict[int, int]]
    counts = defaultdict(lambda: defaultdict(int))
    for ending in endings:
        counts[ending.kind.value][int(ending.began_s)] += 1
    return {kind: dict(per_second) for kind, per_second in counts.items()}
