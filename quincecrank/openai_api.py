"""The OpenAI-compatible API: completions, chat completions and the model list.

A model is the name of a deployment, or ``DEPLOYMENT:ADAPTER``.
"""

import json
from typing import Final

from quincecrank import (
    completion_dispatch,
    configuration,
    http_base,
    http_sink,
    ids,
    inference_request,
    problems,
    refusals,
    request_context,
)

_EVENT_STREAM: Final = "text/event-stream"


class InferenceHandler(http_base.AccountHandler):
    """Base of the two handlers that run prompts."""

    def initialize(  # type: ignore[override]
        self,
        services: http_base.CallerServices,
        dispatcher: completion_dispatch.CompletionDispatcher,
    ) -> None:
        """Store the dispatcher that runs the prompts."""
        super().initialize(services)
        self._dispatcher = dispatcher
        self._streamed = False

    async def post(self) -> None:
        """Run a prompt."""
        await self.serve()

    async def respond(self) -> None:
        """Validate the request, run it and finish the answer."""
        self.require_ready()
        account = self.account()
        parsed = self.parse(self.body())
        if parsed.is_error():
            raise problems.ProblemError(refusals.bad_request(parsed.error))
        request = parsed.ok
        deployment = self._deployment(account, request)
        self._streamed = request.streamed
        content_type = _EVENT_STREAM if request.streamed else "application/json"
        self.set_header("Content-Type", content_type)
        self.set_header("Cache-Control", "no-store")
        max_unsent_bytes = http_sink.MAX_UNSENT_ANSWER_BYTES
        if request.streamed:
            max_unsent_bytes = http_sink.MAX_UNSENT_EVENT_BYTES
        sink = http_sink.HttpSink(self, max_unsent_bytes)
        context = self._context(account, deployment, request)
        request = request.seeded()
        try:
            await self._dispatcher.serve(context, request, sink)
        except problems.ProblemError as error:
            kind = error.problem.kind.value
            self.services.metrics.count_answer(deployment.name, kind)
            raise
        self.services.metrics.count_answer(deployment.name, "whole")
        if not self._finished:
            await self.finish()

    def parse(self, body: bytes) -> inference_request.Parsed:
        """Parse the body; an error lists every finding."""
        raise NotImplementedError

    def fail_started_answer(self, problem: problems.Problem) -> None:
        """Send the failure as an event if streamed, then abort the connection."""
        if self._streamed and not self._finished:
            document = problem.to_json(self.request_id)
            self.write(f"data: {document}\n\n")
            self.flush()
        super().fail_started_answer(problem)

    def _deployment(
        self,
        account: configuration.Account,
        request: inference_request.InferenceRequest,
    ) -> configuration.Deployment:
        deployments = self.services.current.in_force.deployments_by_name
        deployment = deployments.get(request.deployment)
        if (
            deployment is None
            or deployment.kind is not configuration.DeploymentKind.MODEL
            or account.name not in deployment.accounts
            or (request.adapter and request.adapter not in deployment.adapters)
        ):
            raise problems.ProblemError(_unknown_model(request.model))
        return deployment

    def _context(
        self,
        account: configuration.Account,
        deployment: configuration.Deployment,
        request: inference_request.InferenceRequest,
    ) -> request_context.RequestContext:
        options = f"{request.max_tokens} {request.sampling.to_text()}"
        fingerprint = request_context.fingerprint(
            request.model.encode(), request.prompt, options.encode()
        )
        return self.context(account, deployment, fingerprint)


class CompletionHandler(InferenceHandler):
    """``POST /v1/completions``."""

    def parse(self, body: bytes) -> inference_request.Parsed:
        """Parse the body; an error lists every finding."""
        return inference_request.parse_completion(body)


class ChatHandler(InferenceHandler):
    """``POST /v1/chat/completions``."""

    def parse(self, body: bytes) -> inference_request.Parsed:
        """Parse the body; an error lists every finding."""
        return inference_request.parse_chat(body)


class ModelsHandler(http_base.AccountHandler):
    """``GET /v1/models`` and ``GET /v1/models/NAME``."""

    async def get(self, name: str = "") -> None:
        """Return the models of the account, or one of them."""
        await self.serve()

    async def respond(self) -> None:
        """Write the list or the model."""
        self.require_ready()
        models = self._models(self.account())
        name = self.path_args[0] if self.path_args else ""
        self.set_header("Content-Type", "application/json")
        if not name:
            self.finish(json.dumps({"object": "list", "data": models}))
            return
        for model in models:
            if model["id"] == name:
                self.finish(json.dumps(model))
                return
        raise problems.ProblemError(_unknown_model(name))

    def _models(self, account: configuration.Account) -> list[dict[str, object]]:
        deployments = self.services.current.in_force.deployments_by_name
        names: list[str] = []
        for deployment in deployments.values():
            is_model = deployment.kind is configuration.DeploymentKind.MODEL
            if is_model and account.name in deployment.accounts:
                names.append(deployment.name)
                names.extend(_adapter_model(deployment, a) for a in deployment.adapters)
        return [
            {"id": name, "object": "model", "created": 0, "owned_by": "quincecrank"}
            for name in sorted(names)
        ]


def _adapter_model(
    deployment: configuration.Deployment, adapter: ids.AdapterName
) -> str:
    return f"{deployment.name}:{adapter}"


def _unknown_model(name: str) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.NOT_FOUND,
        f"the client account has no model {name[: http_base.MAX_ECHOED_CHARACTERS]!r}",
    )
