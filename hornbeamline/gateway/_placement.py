"""Selection of the data centre in which a stage is computed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from hornbeamline.gateway._job import Job
from hornbeamline.gateway._picker import PickCriteria, TargetPicker
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import CallerRequest, Route, RouteKind
from hornbeamline.gateway._wire import Wire

# Below this size, transferring results between data centres costs less than
# deviating from the order of due times.
_MIN_BYTES: Final = 50_000

HandlesByStage = Mapping[int, Collection[str]]


class Placement:
    """Choose data centres by the location and the size of results.

    Avoids transfers of large results: a stage whose result the engine needs
    is computed in the data centre of the engine that has the prompt cached,
    and a stage with large inputs in the data centre of its inputs.
    """

    def __init__(
        self,
        wire: Wire,
        targets: TargetDirectory,
        picker: TargetPicker,
    ) -> None:
        """Create a placement; `wire` resolves handles to addresses."""
        self._wire = wire
        self._targets = targets
        self._picker = picker

    def bytes_by_data_centre(
        self,
        route: Route,
        handles_by_stage: HandlesByStage,
    ) -> dict[str, int]:
        """Return the expected size of results by their data centre."""
        total: Counter[str] = Counter()
        for stage_index, handles in handles_by_stage.items():
            for handle in handles:
                address = self._wire.address_of(handle)
                target = self._targets.target_at(address)
                if target is not None:
                    size = route.stages[stage_index].result_bytes
                    total[target.data_centre] += size
        return dict(total)

    def preferred_data_centre(
        self,
        job: Job,
        stage_index: int,
        handles_by_stage: HandlesByStage,
    ) -> str:
        """Return the best data centre for a stage, or '' for any."""
        stage = job.route.stages[stage_index]
        input_handles = {
            earlier: handles_by_stage.get(earlier, ())
            for earlier in stage.after
        }
        # Each piece of the stage fetches all inputs.
        pieces = job.request.pieces_of(stage_index)
        weights = Counter(
            {
                data_centre: size * pieces
                for data_centre, size in self.bytes_by_data_centre(
                    job.route,
                    input_handles,
                ).items()
                if data_centre not in self._targets.evacuations
            },
        )
        if _is_final_stage(job.route, job.request, stage_index):
            engine = self._engine_data_centre(job)
            weights[engine] += pieces * stage.result_bytes
        data_centre, size = max(
            weights.items(),
            key=lambda weight: weight[1],
            default=('', 0),
        )
        return data_centre if size >= _MIN_BYTES else ''

    def _engine_data_centre(self, job: Job) -> str:
        if job.route.kind is not RouteKind.STREAM:
            return ''
        engine = self._picker.pick_engine(
            self._targets.available_targets(job.service),
            PickCriteria.of_job(job)._replace(input_bytes_by_data_centre={}),
        )
        return '' if engine is None else engine.data_centre


def _is_final_stage(
    route: Route, request: CallerRequest, stage_index: int
) -> bool:
    """Return whether no other stage uses the results of a stage."""
    return not any(
        stage_index in later.after and request.pieces_of(later_index)
        for later_index, later in enumerate(route.stages)
    )
