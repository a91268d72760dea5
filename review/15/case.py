"""A configuration that names an unknown service beside a split."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig3  # noqa: E402

CONTROLS = [1, 2, 3]
ENTRIES = [4, 5]
NEW_PATH = '/only-in-8/'
# A service that no configuration has under `services`.
UNKNOWN_SERVICE = 'desk-of-last-year'
APPLY_S = 3.0
OK = range(200, 300)
REFUSED = range(400, 500)


def second_document():
    """Return version 8: it splits a route and adds one."""
    document = rig3.document()
    document['version'] = 8
    split = [
        {'service': 'desk', 'weight': 90},
        {'service': 'desk-2', 'weight': 10},
    ]
    document['services'].append({**document['services'][0], 'name': 'desk-2'})
    read = document['routes'][0]
    read['traffic-split'] = split
    del read['service']
    if rig3.has_trouble():
        read['service'] = UNKNOWN_SERVICE
    added = {**document['routes'][1], 'name': 'new', 'path-prefix': NEW_PATH}
    document['routes'].append(added)
    return document


async def put_once(rig, document):
    """Send a configuration until it gets a clear answer; return that."""
    body = json.dumps(document).encode()
    headers = {
        'Host': 'x',
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
    }
    request = rig3.head_bytes('POST /config/put HTTP/1.1', headers) + body
    for _ in range(20):
        for host in CONTROLS:
            status = await rig3.exchange(
                rig.ip(host), rig3.CONTROL_PORT, request, 1.0
            )
            if status in OK or status in REFUSED:
                return status
        await asyncio.sleep(0.2)
    raise rig3.Unusable('no clear answer to a configuration')


async def play(rig):
    for number, service in enumerate(('desk', 'desk', 'desk-2', 'desk-2')):
        rig.servers.append(
            rig3.PlainServer(rig, service, number, f'z{number + 1}')
        )
    for server in rig.servers:
        await server.start()
    await rig.start_list()
    for host in CONTROLS:
        rig.start('control', host, CONTROLS)
    for host in ENTRIES:
        rig.start('entry', host, CONTROLS)
    await rig.put(rig3.document(), CONTROLS)
    await rig.until_ready(ENTRIES)
    status = await put_once(rig, second_document())
    rig.record.say(f'version 8 is answered with {status}')
    await asyncio.sleep(APPLY_S)
    asked = [await rig3.ask(rig, host, f'{NEW_PATH}x', 100) for host in ENTRIES]
    served = [sent.status for sent in asked].count(200)
    rig.record.say(f'{served} of {len(asked)} machines serve its new route')
    if not rig3.has_trouble():
        if status in OK and served:
            return rig3.HELD
        raise rig3.Unusable('a valid configuration is not in force')
    return rig3.BROKEN if status in OK or served else rig3.HELD


async def case():
    record = rig3.Record(HERE)
    async with rig3.rig(record) as rig:
        return await play(rig)


if __name__ == '__main__':
    rig3.run(case)
