"""Rules of the commands that create and change deployments, see `command_rules`."""

from typing import Final

from quincecrank import (
    command_draft,
    command_fields,
    command_model,
    command_values,
    configuration,
    ids,
    messages,
)


def create_deployment(
    command: command_model.CreateDeployment, draft: command_draft.Draft
) -> None:
    """Add a deployment."""
    draft.check_word(command.name, command_values.name)
    draft.deployments.check_new(command.name)
    kind = configuration.DeploymentKind(command.kind.text)
    version = command.version
    if kind is configuration.DeploymentKind.MODEL and version is None:
        message = "a model deployment needs a weight version: kind model version V"
        draft.found.add(command.kind.place, message)
    if kind is configuration.DeploymentKind.SERVICE and version is not None:
        draft.found.add(version.place, "a plain service has no weight version")
    if version is not None:
        draft.check_word(version, command_values.version)
    deployment = configuration.Deployment(
        name=ids.DeploymentName(command.name.text),
        kind=kind,
        weight_version=ids.WeightVersion("" if version is None else version.text),
    )
    _put_deployment(draft, deployment, command.assignments)


def change_deployment(
    command: command_model.ChangeDeployment, draft: command_draft.Draft
) -> None:
    """Set fields of an existing deployment."""
    deployment = draft.deployments.find(command.name)
    if deployment is not None:
        _put_deployment(draft, deployment, command.assignments)


def _put_deployment(
    draft: command_draft.Draft,
    deployment: configuration.Deployment,
    assignments: tuple[command_model.Assignment, ...],
) -> None:
    fields = command_fields.DEPLOYMENT_FIELDS_BY_NAME
    is_service = deployment.kind is configuration.DeploymentKind.SERVICE
    for assignment in assignments:
        field = fields.get(assignment.field.text)
        if is_service and field is not None and field.model_only:
            message = f"a plain service has no field {assignment.field.text!r}"
            draft.found.add(assignment.field.place, message)
    updates = command_fields.parse_updates(assignments, fields, draft.found)
    draft.deployments.put(deployment.name, draft.with_updates(deployment, updates))


def _find_of_kind(
    draft: command_draft.Draft,
    word: command_model.Word,
    kind: configuration.DeploymentKind,
) -> configuration.Deployment | None:
    deployment = draft.deployments.find(word)
    if deployment is None or deployment.kind is kind:
        return deployment
    message = f"{word.text!r} is a {deployment.kind.value}, not a {kind.value}"
    draft.found.add(word.place, message)
    return None


def find_model(
    draft: command_draft.Draft, word: command_model.Word
) -> configuration.Deployment | None:
    """Return the model deployment called `word`; None, with a finding, if none."""
    return _find_of_kind(draft, word, configuration.DeploymentKind.MODEL)


def find_service(
    draft: command_draft.Draft, word: command_model.Word
) -> configuration.Deployment | None:
    """Return the plain service called `word`; None, with a finding, if none."""
    return _find_of_kind(draft, word, configuration.DeploymentKind.SERVICE)


def put_changed(
    draft: command_draft.Draft, deployment: configuration.Deployment, **changes: object
) -> None:
    """Put a copy of `deployment` with the given attributes into the draft."""
    draft.deployments.put(deployment.name, deployment.model_copy(update=changes))


def allow_account(
    command: command_model.AllowAccount, draft: command_draft.Draft
) -> None:
    """Allow an account to call a deployment, or withdraw the permission."""
    deployment = draft.deployments.find(command.deployment)
    name = ids.AccountName(command.account.text)
    if command.allowed:
        draft.accounts.find(command.account)  # Adds a finding if it is unknown.
    if deployment is None:
        return
    others = tuple(account for account in deployment.accounts if account != name)
    if command.allowed:
        put_changed(draft, deployment, accounts=tuple(sorted((*others, name))))
        return
    if name not in deployment.accounts:
        message = messages.unknown("allowed account", name, deployment.accounts)
        draft.found.add(command.account.place, message)
    put_changed(draft, deployment, accounts=others)


def roll_version(
    command: command_model.RollVersion, draft: command_draft.Draft
) -> None:
    """Set the weight version that a model deployment is to serve."""
    deployment = find_model(draft, command.deployment)
    valid = draft.check_word(command.version, command_values.version)
    if deployment is not None and valid:
        version = ids.WeightVersion(command.version.text)
        put_changed(draft, deployment, weight_version=version)


RULES: Final = (
    create_deployment,
    change_deployment,
    allow_account,
    roll_version,
)
