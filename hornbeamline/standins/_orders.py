"""Orders to a stand-in engine that change models, adapters and role."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any, Final, NotRequired, TypedDict

from hornbeamline.core import TaskSet
from hornbeamline.standins._settings import EngineSettings

STATE_LOADING: Final = 'loading'
STATE_READY: Final = 'ready'
_HTTP_ACCEPTED: Final = 202
_HTTP_BAD_REQUEST: Final = 400
_HTTP_CONFLICT: Final = 409


class OrderBody(TypedDict):
    """Body of `POST /v1/orders`."""

    order_id: str
    action: str
    fencing: NotRequired[int]
    model: NotRequired[str]
    version: NotRequired[str]
    adapter: NotRequired[str]
    role: NotRequired[str]


class EngineState:
    """State of an engine: models, adapters and role."""

    def __init__(self, settings: EngineSettings, tasks: TaskSet) -> None:
        """Initialize with the settings and the task set for loads."""
        self._settings = settings
        self._tasks = tasks
        self._answers_by_order: dict[str, tuple[int, dict[str, Any]]] = {}
        self.fencing_number = 0
        self.role = settings.role
        self.models_by_name: dict[str, dict[str, Any]] = {
            model: {'version': version, 'state': STATE_READY, 'adapters': {}}
            for model, version in settings.models.items()
        }

    def view(self) -> dict[str, Any]:
        """Return the body of the answer to `GET /v1/engine`."""
        ready = {
            name: entry
            for name, entry in self.models_by_name.items()
            if entry['state'] == STATE_READY
        }
        adapters = {
            name: [
                adapter
                for adapter, state in entry['adapters'].items()
                if state == STATE_READY
            ]
            for name, entry in ready.items()
        }
        return {
            'role': self.role,
            'models': {name: entry['version'] for name, entry in ready.items()},
            'adapters': adapters,
            'loading': sorted(self._loading()),
            'fencing': self.fencing_number,
        }

    def handle_order(self, order: OrderBody) -> tuple[int, dict[str, Any]]:
        """Apply an order once per order id; return HTTP status and body."""
        previous_answer = self._answers_by_order.get(order['order_id'])
        if previous_answer is not None:
            return previous_answer
        number = order.get('fencing', 0)
        if self._settings.checks_fencing and number < self.fencing_number:
            return _HTTP_CONFLICT, {
                'reason': 'stale_fencing_number',
                'fencing': self.fencing_number,
            }
        reason = self._apply(order)
        if reason:
            return _HTTP_BAD_REQUEST, {'reason': reason}
        self.fencing_number = max(self.fencing_number, number)
        answer = (_HTTP_ACCEPTED, {'order_id': order['order_id']})
        self._answers_by_order[order['order_id']] = answer
        return answer

    def _loading(self) -> Iterator[str]:
        for name, entry in self.models_by_name.items():
            if entry['state'] == STATE_LOADING:
                yield name
            for adapter, state in entry['adapters'].items():
                if state == STATE_LOADING:
                    yield adapter

    def _apply(self, order: OrderBody) -> str:
        model = order.get('model', '')
        match order['action']:
            case 'load_model':
                entry: dict[str, Any] = {
                    'version': order.get('version', ''),
                    'state': STATE_LOADING,
                    'adapters': {},
                }
                self.models_by_name[model] = entry
                self._load(entry, 'state', self._settings.load_model_s)
            case 'load_adapter':
                if model not in self.models_by_name:
                    return 'model_not_loaded'
                adapters = self.models_by_name[model]['adapters']
                adapter = order.get('adapter', '')
                adapters[adapter] = STATE_LOADING
                self._load(adapters, adapter, self._settings.load_adapter_s)
            case 'unload_model':
                self.models_by_name.pop(model, None)
            case 'change_role':
                self.role = order.get('role', self.role)
            case _:
                return 'unknown_action'
        return ''

    def _load(self, entry: dict[str, Any], key: str, load_s: float) -> None:
        async def become_ready() -> None:
            await asyncio.sleep(load_s)
            entry[key] = STATE_READY

        self._tasks.spawn(become_ready(), 'load weights')
