"""Rules of the commands on a deployment's adapters, tiers and routes.

See `command_rules`.
"""

from typing import Final

from quincecrank import (
    command_draft,
    command_model,
    command_values,
    configuration,
    deployment_rules,
    ids,
    messages,
)


def create_adapter(
    command: command_model.CreateAdapter, draft: command_draft.Draft
) -> None:
    """Add an adapter to a model deployment."""
    deployment = deployment_rules.find_model(draft, command.deployment)
    draft.check_word(command.name, command_values.name)
    if deployment is None:
        return
    name = ids.AdapterName(command.name.text)
    if name in deployment.adapters:
        draft.found.add(command.name.place, f"adapter {name!r} exists already")
    deployment_rules.put_changed(
        draft, deployment, adapters=(*deployment.adapters, name)
    )


def remove_adapter(
    command: command_model.RemoveAdapter, draft: command_draft.Draft
) -> None:
    """Remove an adapter from a model deployment."""
    deployment = deployment_rules.find_model(draft, command.deployment)
    if deployment is None:
        return
    name = command.name.text
    if name not in deployment.adapters:
        message = messages.unknown("adapter", name, deployment.adapters)
        draft.found.add(command.name.place, message)
    remaining = tuple(adapter for adapter in deployment.adapters if adapter != name)
    deployment_rules.put_changed(draft, deployment, adapters=remaining)


def attach_tier(command: command_model.AttachTier, draft: command_draft.Draft) -> None:
    """Attach a tier to a model deployment, or detach it."""
    deployment = deployment_rules.find_model(draft, command.deployment)
    if command.attached:
        draft.tiers.find(command.tier)
    if deployment is None:
        return
    name = ids.TierName(command.tier.text)
    others = tuple(tier for tier in deployment.tiers if tier != name)
    if command.attached:
        tiers = deployment.tiers if name in deployment.tiers else (*others, name)
        deployment_rules.put_changed(draft, deployment, tiers=tiers)
        return
    if name not in deployment.tiers:
        message = messages.unknown("attached tier", name, deployment.tiers)
        draft.found.add(command.tier.place, message)
    deployment_rules.put_changed(draft, deployment, tiers=others)


def declare_route(
    command: command_model.DeclareRoute, draft: command_draft.Draft
) -> None:
    """Add or replace the declaration of a route of a plain service."""
    deployment = deployment_rules.find_service(draft, command.deployment)
    valid = draft.check_word(command.method, command_values.method)
    valid = draft.check_word(command.path, command_values.path) and valid
    if deployment is None or not valid:
        return
    route = configuration.Route(
        method=command.method.text.upper(),
        path=command.path.text,
        idempotent=command.idempotent,
    )
    others = _routes_without(deployment, command.method, command.path)
    if route not in deployment.routes:
        deployment_rules.put_changed(draft, deployment, routes=(*others, route))


def remove_route(
    command: command_model.RemoveRoute, draft: command_draft.Draft
) -> None:
    """Remove the declaration of a route."""
    deployment = deployment_rules.find_service(draft, command.deployment)
    if deployment is None:
        return
    remaining = _routes_without(deployment, command.method, command.path)
    if remaining == deployment.routes:
        declared = [f"{route.method} {route.path}" for route in deployment.routes]
        name = f"{command.method.text} {command.path.text}"
        message = messages.unknown("route", name, declared)
        draft.found.add(command.method.place, message)
    deployment_rules.put_changed(draft, deployment, routes=remaining)


def _routes_without(
    deployment: configuration.Deployment,
    method: command_model.Word,
    path: command_model.Word,
) -> tuple[configuration.Route, ...]:
    key = (method.text.upper(), path.text)
    return tuple(r for r in deployment.routes if (r.method, r.path) != key)


RULES: Final = (
    create_adapter,
    remove_adapter,
    attach_tier,
    declare_route,
    remove_route,
)
