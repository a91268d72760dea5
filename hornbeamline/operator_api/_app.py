"""Application and routes of the operator interface."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import falcon
from falcon.asgi import App, Request, Response

from hornbeamline.configuration import (
    ChangeResponse,
    ConfigurationService,
)
from hornbeamline.helpers.codec import encode_json
from hornbeamline.inventory import ControlSettings
from hornbeamline.operator_api._bodies import (
    ChangeBody,
    VoterBody,
    read_body,
)
from hornbeamline.operator_api._problems import (
    add_error_handlers,
    write_problem,
)
from hornbeamline.operator_api._status import fleet_status
from hornbeamline.operator_api.const import (
    DEFAULT_HISTORY_LIMIT,
    MAX_HISTORY_LIMIT,
    REASON_CONFLICT,
    REASON_INVALID,
    REASON_NO_VOTER_CHANGES,
)
from hornbeamline.peering import Peering
from hornbeamline.replog import ReplicatedLog, VoterChange
from hornbeamline.telemetry import log_event, metrics_page


class OperatorApi:
    """Builds the ASGI application of the operator interface.

    All routes below `/v1` require the operator credential. A host that is
    not the leader answers them with status 421 and the leader's address.
    """

    def __init__(
        self,
        settings: ControlSettings,
        configuration: ConfigurationService,
        log: ReplicatedLog,
        peering: Peering,
    ) -> None:
        """Store the services that the routes use."""
        self.settings = settings
        self.configuration = configuration
        self.log = log
        self.peering = peering

    def build(self) -> App[Request, Response]:
        """Return the ASGI application."""
        app: App[Request, Response] = App(
            middleware=[
                _CredentialCheck(self.settings.operator.credential_sha256)
            ],
        )
        app.add_route('/healthz', _Health())
        app.add_route('/readyz', _Readiness(self.log))
        app.add_route('/metrics', _Metrics())
        app.add_route('/v1/configuration', _Document(self))
        app.add_route('/v1/configuration/changes', _Changes(self))
        app.add_route('/v1/configuration/history', _History(self))
        app.add_route('/v1/status', _Status(self))
        app.add_route('/v1/voters', _Voters(self))
        add_error_handlers(app, self.settings.operators_by_name)
        return app


class _CredentialCheck:
    def __init__(self, credential_sha256: str) -> None:
        self._credential_sha256 = credential_sha256

    async def process_request(self, req: Request, _resp: Response) -> None:
        """Answer 401 to a request below `/v1` without the credential."""
        if not req.path.startswith('/v1/'):
            return
        authorization = req.get_header('Authorization') or ''
        scheme, _, credential = authorization.partition(' ')
        digest = hashlib.sha256(credential.encode()).hexdigest()
        is_known = hmac.compare_digest(digest, self._credential_sha256)
        if scheme.lower() != 'bearer' or not is_known:
            raise falcon.HTTPUnauthorized(title='unknown credential')


class _Health:
    async def on_get(self, _req: Any, resp: Response) -> None:
        resp.text = 'ok\n'


class _Readiness:
    def __init__(self, log: ReplicatedLog) -> None:
        self._log = log

    async def on_get(self, _req: Any, resp: Response) -> None:
        ready = self._log.leader is not None
        resp.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        resp.text = 'ready\n' if ready else 'no leader\n'


class _Metrics:
    async def on_get(self, _req: Any, resp: Response) -> None:
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = metrics_page()


class _Document:
    def __init__(self, api: OperatorApi) -> None:
        self._api = api

    async def on_get(self, _req: Request, resp: Response) -> None:
        accepted = await self._api.configuration.read()
        _write_json(resp, accepted._asdict())


class _Changes:
    def __init__(self, api: OperatorApi) -> None:
        self._api = api

    async def on_post(self, req: Request, resp: Response) -> None:
        body = await read_body(req, ChangeBody)
        response = await self._api.configuration.change(body.to_change())
        if response.is_accepted:
            _write_json(
                resp,
                {'status': response.status, 'revision': response.revision},
            )
            return
        _write_refusal(resp, response)


class _History:
    def __init__(self, api: OperatorApi) -> None:
        self._api = api

    async def on_get(self, req: Request, resp: Response) -> None:
        limit = req.get_param_as_int(
            'limit',
            min_value=1,
            max_value=MAX_HISTORY_LIMIT,
            default=DEFAULT_HISTORY_LIMIT,
        )
        after = req.get_param_as_int('after', min_value=0)
        if after is None:
            accepted = await self._api.configuration.read()
            after = max(0, accepted.revision - limit)
        entries = await self._api.configuration.read_history(after, limit)
        _write_json(
            resp,
            {
                'changes': [
                    {
                        **entry._asdict(),
                        'operations': [
                            operation._asdict()
                            for operation in entry.operations
                        ],
                    }
                    for entry in entries
                ],
            },
        )


class _Status:
    def __init__(self, api: OperatorApi) -> None:
        self._api = api

    async def on_get(self, _req: Request, resp: Response) -> None:
        accepted = await self._api.configuration.read()
        status = fleet_status(
            accepted,
            self._api.configuration.holders(),
            self._api.log,
            self._api.peering,
        )
        _write_json(resp, status)


class _Voters:
    def __init__(self, api: OperatorApi) -> None:
        self._api = api

    async def on_post(self, req: Request, resp: Response) -> None:
        body = await read_body(req, VoterBody)
        change_voter = getattr(self._api.log, 'change_voter', None)
        if change_voter is None:
            write_problem(
                resp,
                falcon.HTTP_501,
                REASON_NO_VOTER_CHANGES,
                'this log has a fixed set of voters',
            )
            return
        members = await change_voter(
            VoterChange(body.action, body.name, body.identity, body.address),
        )
        log_event('operator.voters', action=body.action, member=body.name)
        _write_json(
            resp,
            {'voters': [member._asdict() for member in members.voters]},
        )


def _write_json(resp: Response, body: Any) -> None:
    resp.content_type = falcon.MEDIA_JSON
    resp.data = encode_json(body)


def _write_refusal(resp: Response, response: ChangeResponse) -> None:
    if response.status == REASON_INVALID:
        write_problem(
            resp,
            falcon.HTTP_422,
            REASON_INVALID,
            f'{response.key_path}: {response.reason}',
            key_path=response.key_path,
            invalid_reason=response.reason,
            revision=response.revision,
        )
        return
    winner = response.winner or 'a change that is no longer in the history'
    write_problem(
        resp,
        falcon.HTTP_409,
        REASON_CONFLICT,
        f'the base revision was changed by {winner}',
        winner=response.winner,
        winner_author=response.winner_author,
        revision=response.revision,
    )
