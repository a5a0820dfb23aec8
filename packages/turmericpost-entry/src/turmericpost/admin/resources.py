"""HTTP resources of the admin port."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from turmericpost.admin.publishing import publish_change
from turmericpost.admin.views import (
    AdminState,
    configuration_view,
    explain_view,
    history_view,
    plan_view,
    status_view,
)
from turmericpost.forward.call_facts import parse_home_regions
from turmericpost.forward.refusals import refusal_status
from turmericpost.observe.events import log_failure
from turmericpost.observe.exposition import exposition
from turmericpost_core.routing.facts import CallFacts

ViewBuilder: TypeAlias = Callable[[AdminState], dict[str, Any]]

_JSON_CONTENT_TYPE = b'application/json'
_PROBLEM_CONTENT_TYPE = b'application/problem+json'
_METRICS_CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


def admin_root(state: AdminState) -> Resource:
    """Return the root resource of the admin port."""
    api = Resource()
    views: dict[bytes, ViewBuilder] = {
        b'status': status_view,
        b'configuration': configuration_view,
        b'history': history_view,
        b'plan': plan_view,
    }
    for name, view in views.items():
        api.putChild(name, ViewResource(state, view))
    api.putChild(b'explain', ExplainResource(state))
    api.putChild(b'changes', ChangesResource(state))
    root = Resource()
    root.putChild(b'v1', api)
    root.putChild(b'metrics', MetricsResource(state))
    return root


class ViewResource(Resource):
    """Serves one JSON view of the state of the entry VM."""

    isLeaf = True  # noqa: WPS115

    def __init__(
        self,
        state: AdminState,
        view: ViewBuilder,
    ) -> None:
        super().__init__()
        self._state = state
        self._view = view

    def render_GET(self, request: Request) -> bytes:
        """Return the view as JSON."""
        return _json_body(request, HTTPStatus.OK, self._view(self._state))


class MetricsResource(Resource):
    """Serves the metrics in the Prometheus text format."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, state: AdminState) -> None:
        super().__init__()
        self._state = state

    def render_GET(self, request: Request) -> bytes:
        """Return the metrics as text."""
        request.setHeader(b'content-type', _METRICS_CONTENT_TYPE)
        return exposition(self._state.metrics)


class ExplainResource(Resource):
    """Explains which backend servers may serve a call, and why."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, state: AdminState) -> None:
        super().__init__()
        self._state = state

    def render_GET(self, request: Request) -> bytes:
        """Return the explanation for the call described by the query."""
        facts = CallFacts(
            service=_query_argument(request, b'service', ''),
            account=_query_argument(request, b'account', ''),
            method=_query_argument(request, b'method', 'GET').upper(),
            path=_query_argument(request, b'path', '/'),
            requested_home_regions=parse_home_regions(
                _query_argument(request, b'home_regions', '') or None,
            ),
        )
        explanation = explain_view(self._state, facts)
        if explanation.is_ok():
            return _json_body(request, HTTPStatus.OK, explanation.unwrap())
        reason = explanation.unwrap_err()
        status = refusal_status(reason)
        problem = {
            'type': f'urn:turmericpost:refusal:{reason.value}',
            'title': reason.value.replace('-', ' '),
            'status': status.value,
        }
        return _json_body(request, status, problem)


class ChangesResource(Resource):
    """Publishes configuration changes that operators post."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, state: AdminState) -> None:
        super().__init__()
        self._state = state

    def render_POST(self, request: Request) -> int:
        """Publish the change in the request body."""
        publishing = Deferred.fromCoroutine(self._publish(request))
        publishing.addErrback(_report_failure, request)
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _failure: publishing.cancel())
        return NOT_DONE_YET

    async def _publish(self, request: Request) -> None:
        response = await publish_change(self._state, request.content.read())
        request.write(_json_body(request, response.status, response.body))
        request.finish()


def _json_body(
    request: Request,
    status: HTTPStatus,
    body: dict[str, Any],
) -> bytes:
    is_error = status >= HTTPStatus.BAD_REQUEST
    request.setResponseCode(status.value)
    request.setHeader(
        b'content-type',
        _PROBLEM_CONTENT_TYPE if is_error else _JSON_CONTENT_TYPE,
    )
    return json.dumps(body).encode()


def _query_argument(request: Request, name: bytes, default: str) -> str:
    arguments = request.args.get(name)
    return arguments[0].decode('utf-8', 'replace') if arguments else default


def _report_failure(failure: Any, request: Request) -> None:
    log_failure(failure)
    if not (request.finished or request._disconnected):
        request.setResponseCode(HTTPStatus.INTERNAL_SERVER_ERROR.value)
        request.finish()
