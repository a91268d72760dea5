"""Compare one entry process with direct calls to stand-in targets.

All processes run on loopback addresses.

Run from the repository root: python -m benchmarks.entry
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import json
import os
import platform
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import tomli_w

CREDENTIAL = 'bench'
SERVICE_COUNT = 2
ENGINE_COUNT = 2
CLIENT_PROCESSES = 2
SERVICE_MS = 5
TOKENS_PER_STREAM = 200
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Job(NamedTuple):
    """Load that one client process generates."""

    # Addresses of the targets, or only that of the entry process.
    addresses: list[str]
    through_entry: bool
    seconds: float
    # Number of concurrent callers of a closed loop; with 0, an open loop
    # sends at `rate` requests per second.
    callers: int = 0
    rate: float = 0
    streams: bool = False


class Figures(NamedTuple):
    """Results of one client process, or the sum over several."""

    completed: int = 0
    failed: int = 0
    # Token events received before the end of the job, and all of them: open
    # streams are read to their end.
    tokens: int = 0
    all_tokens: int = 0
    latencies_ms: list[float] = []
    # Times between the token events of a stream; 0 between events that were
    # received together.
    gaps_ms: list[float] = []


def free_address() -> str:
    """Return a loopback address that is currently unused."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def request_of(job: Job, number: int) -> tuple[str, dict[str, Any]]:
    """Return the URL and the `post` options of one request."""
    address = job.addresses[number % len(job.addresses)]
    prompt = {'prompt': f'prompt {number}'}
    if job.through_entry:
        pipeline = 'draft' if job.streams else 'read'
        return f'http://{address}/v1/pipelines/{pipeline}/requests', {
            'json': {'input': prompt, 'stream': job.streams},
            'headers': {'Authorization': f'Bearer {CREDENTIAL}'},
        }
    headers = {'X-Request-Id': f'r-{number}'}
    if job.streams:
        body = {**prompt, 'max_tokens': TOKENS_PER_STREAM, 'stream': True}
        return f'http://{address}/v1/completions', {
            'json': body,
            'headers': headers,
        }
    body = {'stage': 'read', 'input': prompt, 'outputs_by_stage': {}}
    return f'http://{address}/v1/run', {'json': body, 'headers': headers}


class Client:
    """Sends the requests of one job."""

    def __init__(self, job: Job) -> None:
        """Initialize empty results for the job."""
        self.job = job
        self.figures = Figures(latencies_ms=[], gaps_ms=[])
        self.completed = 0
        self.failed = 0
        self.tokens = 0
        self.all_tokens = 0

    async def run(self) -> Figures:
        """Send requests for the duration of the job."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            if self.job.callers:
                await self._closed_loop(session)
            else:
                await self._open_loop(session)
        return self.figures._replace(
            completed=self.completed,
            failed=self.failed,
            tokens=self.tokens,
            all_tokens=self.all_tokens,
        )

    async def _closed_loop(self, session: aiohttp.ClientSession) -> None:
        until = time.monotonic() + self.job.seconds

        async def call_repeatedly(number: int) -> None:
            while time.monotonic() < until:
                await self._send(session, number, until)
                number += self.job.callers

        callers = range(self.job.callers)
        await asyncio.gather(*(call_repeatedly(number) for number in callers))

    async def _open_loop(self, session: aiohttp.ClientSession) -> None:
        started_at = time.monotonic()
        tasks = []
        for number in range(int(self.job.rate * self.job.seconds)):
            wait_s = started_at + number / self.job.rate - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            tasks.append(
                asyncio.create_task(self._send(session, number, float('inf'))),
            )
        await asyncio.gather(*tasks)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        number: int,
        until: float,
    ) -> None:
        url, options = request_of(self.job, number)
        started_at = time.monotonic()
        try:
            async with session.post(url, **options) as response:
                if self.job.streams:
                    await self._read_tokens(response, until)
                else:
                    await response.read()
                succeeded = response.status == 200
        except aiohttp.ClientError:
            succeeded = False
        now = time.monotonic()
        if now > until:
            return
        self.completed += succeeded
        self.failed += not succeeded
        self.figures.latencies_ms.append((now - started_at) * 1000)

    async def _read_tokens(
        self,
        response: aiohttp.ClientResponse,
        until: float,
    ) -> None:
        last_at = 0.0
        async for chunk in response.content.iter_any():
            count = chunk.count(b'event: token')
            now = time.monotonic()
            self.all_tokens += count
            if not count or now > until:
                continue
            self.tokens += count
            if last_at:
                self.figures.gaps_ms.append((now - last_at) * 1000)
                self.figures.gaps_ms.extend([0.0] * (count - 1))
            last_at = now


def run_job(job: Job) -> Figures:
    """Run a job in a client process."""
    return asyncio.run(Client(job).run())


def run_jobs(pool: ProcessPoolExecutor, job: Job) -> Figures:
    """Split a job evenly over the client processes and add up the results."""
    per_process_job = job._replace(
        callers=job.callers // CLIENT_PROCESSES,
        rate=job.rate / CLIENT_PROCESSES,
    )
    parts = list(pool.map(run_job, [per_process_job] * CLIENT_PROCESSES))
    return Figures(
        sum(part.completed for part in parts),
        sum(part.failed for part in parts),
        sum(part.tokens for part in parts),
        sum(part.all_tokens for part in parts),
        [each for part in parts for each in part.latencies_ms],
        [each for part in parts for each in part.gaps_ms],
    )


class Testbed(NamedTuple):
    """Addresses of the measured entry process and its targets."""

    entry: str
    entry_pid: int
    services: list[str]
    engines: list[str]

    def processor_s(self) -> float:
        """Return the user and system CPU time of the entry process."""
        stat = Path(f'/proc/{self.entry_pid}/stat').read_text(encoding='utf-8')
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory of the entry process in MiB."""
        path = Path(f'/proc/{self.entry_pid}/status')
        lines = path.read_text(encoding='utf-8').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) / 1024


def fleet_document(testbed: Testbed) -> dict[str, Any]:
    """Return the configuration document of the benchmark fleet."""
    targets = {
        f'{service}-{number}': {
            'service': service,
            'data_centre': 'dc-a',
            'address': address,
            'concurrency': 512,
        }
        for service, addresses in (
            ('service', testbed.services),
            ('engine', testbed.engines),
        )
        for number, address in enumerate(addresses)
    }
    return {
        'fleet': {'name': 'bench'},
        'data_centres_by_name': {'dc-a': {'region': 'r'}},
        'services_by_name': {
            'service': {'kind': 'plain', 'expected_ms': SERVICE_MS},
            'engine': {'kind': 'generation', 'expected_ms': 1500},
        },
        'targets_by_name': targets,
        'accounts_by_name': {
            'bench': {
                'credential_sha256': hashlib.sha256(
                    CREDENTIAL.encode(),
                ).hexdigest(),
            },
        },
        'pipelines_by_name': {
            'read': {'stages': [{'name': 'read', 'service': 'service'}]},
            'draft': {
                'stages': [
                    {
                        'name': 'draft',
                        'service': 'engine',
                        'max_tokens': TOKENS_PER_STREAM,
                    },
                ],
                'deadline_ms': 60_000,
            },
        },
        'rules': {'limits': {'initial_concurrency': 256}},
    }


def start(folder: Path, *arguments: str) -> subprocess.Popen[bytes]:
    """Start a hornbeamline process that logs to a file in the folder."""
    with Path(folder, 'log').open('ab') as log:
        return subprocess.Popen(
            [sys.executable, '-m', 'hornbeamline', *arguments],
            stdout=log,
            stderr=log,
        )


def wait_listening(address: str) -> None:
    """Wait until an address accepts connections.

    Raises:
        SystemExit: If it does not do so in time.
    """
    host, _, port = address.rpartition(':')
    for _ in range(500):
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), 0.2).close()
            return
        time.sleep(0.02)
    raise SystemExit(f'{address} did not accept connections in time')


def wait_ready(address: str) -> None:
    """Wait until an entry process holds a configuration lease.

    Raises:
        SystemExit: If `/readyz` cannot be fetched in time.
    """
    for _ in range(500):
        with contextlib.suppress(OSError):
            urllib.request.urlopen(
                f'http://{address}/readyz', timeout=1
            ).close()
            return
        time.sleep(0.02)
    raise SystemExit(f'{address} did not become ready in time')


@contextlib.contextmanager
def run_testbed(folder: Path, token_ms: float) -> Iterator[Testbed]:
    """Run the targets, one control process and one entry process."""
    testbed = Testbed(
        free_address(),
        0,
        [free_address() for _ in range(SERVICE_COUNT)],
        [free_address() for _ in range(ENGINE_COUNT)],
    )
    processes = []

    def write(name: str, content: dict[str, Any]) -> str:
        path = folder / f'{name}.toml'
        path.write_text(tomli_w.dumps(content), encoding='utf-8')
        return str(path)

    for kind, addresses in (
        ('plain', testbed.services),
        ('generation', testbed.engines),
    ):
        for number, address in enumerate(addresses):
            settings = {
                'name': f'{kind}-{number}',
                'address': address,
                'service': kind,
                'kind': kind,
                'service_ms': SERVICE_MS,
                'service_jitter_ms': 0,
                'concurrency': 512,
                'engine': {
                    'max_batch': 512,
                    'token_ms': token_ms,
                    'token_ms_per_sequence': 0,
                },
            }
            path = write(f'{kind}-{number}', settings)
            processes.append(start(folder, 'target', 'run', '--settings', path))
    control_address = free_address()
    address_by_control = {'control-1': control_address}
    host = {'data_centre': 'dc-a', 'fleet': 'bench'}
    control_file = write(
        'control',
        {
            'host': {'name': 'control-1', **host},
            'peering': {'address': control_address},
            'operator': {
                'address': free_address(),
                'credential_sha256': '0' * 64,
            },
            'storage': {'data_folder': str(folder / 'data')},
            'controls_by_name': address_by_control,
            'initial_documents': [write('fleet', fleet_document(testbed))],
        },
    )
    processes.append(
        start(folder, 'control', 'run', '--settings', control_file)
    )
    entry = start(
        folder,
        'entry',
        'run',
        '--settings',
        write(
            'entry',
            {
                'host': {'name': 'e', **host},
                'caller': {'address': testbed.entry},
                'peering': {'address': free_address()},
                'controls_by_name': address_by_control,
                'stop': {'balancer_wait_s': 0},
            },
        ),
    )
    try:
        for address in (testbed.entry, *testbed.services, *testbed.engines):
            wait_listening(address)
        wait_ready(testbed.entry)
        yield testbed._replace(entry_pid=entry.pid)
    finally:
        for process in (entry, *processes):
            process.terminate()
        for process in (entry, *processes):
            process.wait(20)


def quantiles(times: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile, rounded."""
    percentiles = statistics.quantiles(times, n=100)
    return round(percentiles[49], 2), round(percentiles[98], 2)


def measure_requests(
    testbed: Testbed,
    pool: ProcessPoolExecutor,
    seconds: float,
) -> dict[str, Any]:
    """Measure one-stage requests at saturation and at half that rate."""
    through = Job([testbed.entry], True, seconds)
    direct = Job(testbed.services, False, seconds)
    run_jobs(pool, through._replace(callers=64, seconds=1))
    before_s = testbed.processor_s()
    saturated = run_jobs(pool, through._replace(callers=64))
    used_s = testbed.processor_s() - before_s
    direct_saturated = run_jobs(pool, direct._replace(callers=64))
    rate = saturated.completed / seconds / 2
    before_s = testbed.processor_s()
    half_rate = run_jobs(pool, through._replace(rate=rate))
    half_rate_share = (testbed.processor_s() - before_s) / seconds
    direct_half_rate = run_jobs(pool, direct._replace(rate=rate))
    entry_ms = quantiles(half_rate.latencies_ms)
    direct_ms = quantiles(direct_half_rate.latencies_ms)
    return {
        'requests_per_s': round(saturated.completed / seconds),
        'direct_requests_per_s': round(direct_saturated.completed / seconds),
        'failed_full_half': (saturated.failed, half_rate.failed),
        'processor_us_per_request': round(used_s / saturated.completed * 1e6),
        'half_rate_per_s': round(rate),
        'half_processor_share': round(half_rate_share, 2),
        'entry_p50_p99_ms': entry_ms,
        'direct_p50_p99_ms': direct_ms,
        'added_p50_ms': round(entry_ms[0] - direct_ms[0], 2),
        'added_p99_ms': round(entry_ms[1] - direct_ms[1], 2),
    }


def measure_tokens(
    testbed: Testbed,
    pool: ProcessPoolExecutor,
    seconds: float,
    callers: int,
) -> dict[str, Any]:
    """Measure streams of tokens through the entry process and direct."""
    before_s = testbed.processor_s()
    through = run_jobs(
        pool,
        Job([testbed.entry], True, seconds, callers, streams=True),
    )
    used_s = testbed.processor_s() - before_s
    direct = run_jobs(
        pool,
        Job(testbed.engines, False, seconds, callers, streams=True),
    )
    entry_ms = quantiles(through.gaps_ms)
    direct_ms = quantiles(direct.gaps_ms)
    return {
        'callers': callers,
        'tokens_per_s': round(through.tokens / seconds),
        'direct_tokens_per_s': round(direct.tokens / seconds),
        'failed': through.failed,
        'processor_us_per_token': round(
            used_s / through.all_tokens * 1e6,
            1,
        ),
        'entry_gap_p50_p99_ms': entry_ms,
        'direct_gap_p50_p99_ms': direct_ms,
        'added_gap_p50_ms': round(entry_ms[0] - direct_ms[0], 2),
        'added_gap_p99_ms': round(entry_ms[1] - direct_ms[1], 2),
    }


def main() -> None:
    """Run the measurements and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--callers', type=int, nargs='*', default=[400])
    parser.add_argument('--token-ms', type=float, default=15)
    parser.add_argument('--no-requests', action='store_true')
    options = parser.parse_args()
    report: dict[str, Any] = {
        'python': platform.python_version(),
        'processors': os.cpu_count(),
        'load_before': os.getloadavg()[0],
    }
    with (
        tempfile.TemporaryDirectory() as folder,
        run_testbed(Path(folder), options.token_ms) as testbed,
        ProcessPoolExecutor(CLIENT_PROCESSES, get_context('spawn')) as pool,
    ):
        if not options.no_requests:
            report['requests'] = measure_requests(
                testbed, pool, options.seconds
            )
        report['tokens'] = [
            measure_tokens(testbed, pool, options.seconds, callers)
            for callers in options.callers
        ]
        report['peak_memory_mb'] = round(testbed.peak_memory_mb())
    report['load_after'] = os.getloadavg()[0]
    sys.stdout.write(f'{json.dumps(report, indent=2)}\n')


if __name__ == '__main__':
    main()
