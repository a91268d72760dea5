"""Orders over HTTP to the stand-in engine."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.inventory import ServiceKind, Target
from hornbeamline.orders import HttpEngineClient, StaleFencingError
from hornbeamline.standins import EngineSettings
from tests.serving import serving


def order_body(fencing: int, order_id: str, action: str, model: str):
    """Return the body of an order about a model."""
    return {
        'fencing': fencing,
        'order_id': order_id,
        'action': action,
        'model': model,
        'adapter': '',
        'version': 'v2',
        'role': '',
        'expires_in_ms': 1000,
    }


async def test_engine_reports_and_fences_as_the_client_reads() -> None:
    """Guards against client and engine reading a field differently."""
    engine = EngineSettings(models={'old': 'v1'}, load_model_s=0.05)
    client = HttpEngineClient()
    async with serving(ServiceKind.generation, engine=engine) as standin:
        target = Target(
            service='work',
            data_centre='dc-a',
            address=standin.settings.address,
        )
        load = order_body(7, 'o1', 'load_model', 'new')
        await client.order(target, load, lambda: True, 1)
        report = await client.report(target, 1)
        assert (report.models, report.loading) == ({'old': 'v1'}, ['new'])
        stale = order_body(6, 'o2', 'unload_model', 'old')
        with pytest.raises(StaleFencingError):
            await client.order(target, stale, lambda: True, 1)
        await asyncio.sleep(0.1)
        report = await client.report(target, 1)
        assert report.models == {'old': 'v1', 'new': 'v2'}
        await client.close()
