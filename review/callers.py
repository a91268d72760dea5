"""Ordinary clients in a process of their own: idempotent requests at a rate.

Usage: callers.py RESULTS SECONDS GAP_S PATIENCE_S PATH ADDRESS...

Each client attempt is a GET on a new connection. A line of RESULTS holds the
moment of sending (monotonic clock), the status (0 without a whole answer), the
seconds until then, and whether the body belongs to the request.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import lab


async def run(
    seconds: float,
    gap_s: float,
    patience_s: float,
    path: str,
    addresses: list[str],
) -> list[str]:
    """Send requests for some time and return a line for each."""
    lines: list[str] = []

    async def one(address: str) -> None:
        host, _, port = address.rpartition(':')
        headers = lab.client_headers(int(patience_s * 1000))
        sent_at = time.monotonic()
        got = await lab.call(
            (host, int(port)), 'GET', path, headers, timeout_s=patience_s
        )
        own = got.body == f'body of {headers["X-Request-Id"]}'.encode()
        lines.append(f'{sent_at:.3f} {got.status} {got.took_s:.3f} {own:d}')

    tasks = []
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        address = addresses[number % len(addresses)]
        tasks.append(asyncio.create_task(one(address)))
        number += 1
        await asyncio.sleep(gap_s)
    await asyncio.gather(*tasks)
    return lines


if __name__ == '__main__':
    seconds, gap_s, patience_s = (float(text) for text in sys.argv[2:5])
    found = asyncio.run(
        run(seconds, gap_s, patience_s, sys.argv[5], sys.argv[6:])
    )
    Path(sys.argv[1]).write_text('\n'.join(found) + '\n')
