"""Pass-through routes to plain services: ``/services/DEPLOYMENT/PATH``.

The call is forwarded with its method, path, query, body and the headers of
`_FORWARDED_HEADERS`; every other header of the caller is dropped.
"""

from typing import Final

from quincecrank import (
    configuration,
    findings,
    http_base,
    http_sink,
    ids,
    plain_dispatch,
    problems,
    refusals,
    request_context,
    service_backend,
    stream_messages,
)

MAX_KEY_CHARACTERS: Final = 255

_FORWARDED_HEADERS: Final = frozenset(
    {"accept", "accept-language", "content-type", "if-match", "if-none-match"}
)


class ServiceHandler(http_base.AccountHandler):
    """Forwards calls to plain services."""

    def initialize(  # type: ignore[override]
        self,
        services: http_base.CallerServices,
        dispatcher: plain_dispatch.PlainDispatcher,
    ) -> None:
        """Store the dispatcher that forwards the calls."""
        super().initialize(services)
        self._dispatcher = dispatcher

    async def get(self, deployment: str, path: str) -> None:
        """Forward a call."""
        await self.serve()

    post = put = patch = delete = get

    async def head(self, deployment: str, path: str) -> None:
        """Forward a call."""
        await self.serve()

    async def respond(self) -> None:
        """Validate the call, run it and finish the answer."""
        self.require_ready()
        account = self.account()
        deployment = self._deployment(account)
        call = self._call()
        key = self._idempotency_key()
        context = self._context(account, deployment, call)
        sink = http_sink.HttpSink(self)
        try:
            await self._dispatcher.serve(
                context,
                call,
                key,
                idempotent=_is_idempotent(deployment, call),
                sink=sink,
            )
        except problems.ProblemError as error:
            kind = error.problem.kind.value
            self.services.metrics.count_answer(deployment.name, kind)
            raise
        self.services.metrics.count_answer(deployment.name, "whole")
        if not self._finished:
            await self.finish()

    def _deployment(self, account: configuration.Account) -> configuration.Deployment:
        name = ids.DeploymentName(self.path_args[0])
        deployments = self.services.current.in_force.deployments_by_name
        deployment = deployments.get(name)
        if (
            deployment is None
            or deployment.kind is not configuration.DeploymentKind.SERVICE
            or account.name not in deployment.accounts
        ):
            kind = problems.ProblemKind.NOT_FOUND
            detail = f"the client account has no service {name!r}"
            raise problems.ProblemError(problems.Problem(kind, detail))
        return deployment

    def _call(self) -> stream_messages.PlainCall:
        query = f"?{self.request.query}" if self.request.query else ""
        headers = tuple(
            stream_messages.HeaderField(name, value)
            for name, value in self.request.headers.get_all()
            if name.lower() in _FORWARDED_HEADERS
        )
        return stream_messages.PlainCall(
            method=self.request.method or "GET",
            path=f"/{self.path_args[1]}{query}",
            headers=headers,
            body=self.body(),
        )

    def _idempotency_key(self) -> str:
        key = self.request.headers.get(service_backend.KEY_HEADER, "")
        if len(key) <= MAX_KEY_CHARACTERS and key.isprintable():
            return key
        found = findings.Findings()
        place = findings.Place("header", field=service_backend.KEY_HEADER)
        found.add(place, f"expected at most {MAX_KEY_CHARACTERS} printable characters")
        raise problems.ProblemError(refusals.bad_request(found))

    def _context(
        self,
        account: configuration.Account,
        deployment: configuration.Deployment,
        call: stream_messages.PlainCall,
    ) -> request_context.RequestContext:
        fingerprint = request_context.fingerprint(
            call.method.encode(), call.path.encode(), call.body
        )
        return self.context(account, deployment, fingerprint)


def _is_idempotent(
    deployment: configuration.Deployment, call: stream_messages.PlainCall
) -> bool:
    """Return whether the deployment declares the call's route as idempotent."""
    path = call.path.partition("?")[0]
    return any(
        route.idempotent and route.method == call.method and route.path == path
        for route in deployment.routes
    )
