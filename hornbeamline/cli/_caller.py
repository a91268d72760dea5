"""Commands that act as a caller: single requests and load runs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated, Any, Final

import aiohttp
import typer
from rich.progress import Progress

from hornbeamline.helpers.codec import CodecError, decode_json, encode_json
from hornbeamline.inventory import load_settings
from hornbeamline.load import (
    Ending,
    EndingKind,
    LoadRunner,
    LoadSettings,
    arrivals,
    build_report,
    render_text,
    write_plot,
)

EXIT_NOT_ANSWERED: Final = 1
EXIT_UNREACHABLE: Final = 4
_HTTP_OK: Final = 200
_TIMEOUT_S: Final = 60

request_app = typer.Typer(no_args_is_help=True)

EntryOption = Annotated[
    str,
    typer.Option('--entry', help='Caller address of an entry host, ip:port.'),
]
CredentialOption = Annotated[
    str,
    typer.Option(
        '--credential',
        envvar='HORNBEAMLINE_CREDENTIAL',
        help='Credential of the client account.',
    ),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON for scripts.'),
]


@request_app.command('send')
def send(
    pipeline: Annotated[str, typer.Argument(help='Name of the pipeline.')],
    entry: EntryOption,
    credential: CredentialOption,
    body: Annotated[
        str,
        typer.Option('--input', help='Input of the request, a JSON object.'),
    ] = '{}',
    key: Annotated[
        str,
        typer.Option('--key', help='Request key (idempotency key).'),
    ] = '',
    deadline_ms: Annotated[
        int,
        typer.Option('--deadline-ms', min=1, help='Deadline in ms.'),
    ] = 4000,
    stream: Annotated[
        bool,
        typer.Option('--stream', help='Print server-sent events.'),
    ] = False,
) -> None:
    """Send one request and print its outcome.

    Exit code 0 when the request is answered, 1 when it is not, 2 for
    invalid options, 4 when the entry host cannot be reached.
    """
    try:
        request_input = decode_json(body, dict[str, Any])
    except CodecError as error:
        raise typer.BadParameter(f'--input: {error}') from error
    content = {
        'input': request_input,
        'deadline_ms': deadline_ms,
        'stream': stream,
    }
    headers = {'Idempotency-Key': key} if key else {}
    url = f'http://{entry}/v1/pipelines/{pipeline}/requests'
    raise typer.Exit(
        asyncio.run(_exchange('POST', url, credential, headers, content)),
    )


@request_app.command('show')
def show(
    key: Annotated[str, typer.Argument(help='Request key.')],
    entry: EntryOption,
    credential: CredentialOption,
) -> None:
    """Look up the outcome of an earlier request by its key.

    Exit codes are the same as for `send`.
    """
    url = f'http://{entry}/v1/requests/{key}'
    raise typer.Exit(asyncio.run(_exchange('GET', url, credential, {}, None)))


def load(
    settings: Annotated[
        Path,
        typer.Option('--settings', help='Load settings file (TOML).'),
    ],
    as_json: JsonOption = False,
    plot: Annotated[
        Path | None,
        typer.Option('--plot', help='Write a plot (PNG, SVG or PDF).'),
    ] = None,
) -> None:
    """Send an open-loop load and print a report.

    Exit code 0 after a complete run, 1 when an answer belonged to another
    request.
    """
    load_plan = load_settings(settings, LoadSettings)
    endings = run_load(load_plan, progress=sys.stderr.isatty())
    report = build_report(endings, load_plan.duration_s)
    if plot is not None:
        write_plot(endings, plot)
    if as_json:
        typer.echo(encode_json(report).decode())
    else:
        typer.echo(render_text(report))
    wrong = any(ending.kind is EndingKind.wrong_answer for ending in endings)
    raise typer.Exit(int(wrong))


def run_load(load_plan: LoadSettings, *, progress: bool) -> list[Ending]:
    """Run a load and return the record of each request."""
    endings: list[Ending] = []
    with Progress(disable=not progress) as progress_bar:
        total = sum(1 for _ in arrivals(load_plan))
        task_id = progress_bar.add_task('requests', total=total)

        def collect(ending: Ending) -> None:
            endings.append(ending)
            progress_bar.advance(task_id)

        asyncio.run(LoadRunner(load_plan, collect).run())
    return endings


async def _exchange(
    method: str,
    url: str,
    credential: str,
    headers: dict[str, str],
    content: Any,
) -> int:
    all_headers = {'Authorization': f'Bearer {credential}', **headers}
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, url, headers=all_headers, json=content
            ) as answer,
        ):
            async for chunk in answer.content.iter_any():
                sys.stdout.write(chunk.decode(errors='replace'))
                sys.stdout.flush()
            sys.stdout.write('\n')
            return 0 if answer.status == _HTTP_OK else EXIT_NOT_ANSWERED
    except (aiohttp.ClientError, TimeoutError) as error:
        sys.stderr.write(f'hornbeamline: {url}: {error!r}\n')
        return EXIT_UNREACHABLE
