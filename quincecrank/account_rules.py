"""Rules of the commands on client accounts and their keys, see `command_rules`."""

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

MAX_KEYS_PER_ACCOUNT: Final = 16


def create_account(
    command: command_model.CreateAccount, draft: command_draft.Draft
) -> None:
    """Add an account."""
    draft.check_word(command.name, command_values.name)
    draft.accounts.check_new(command.name)
    account = configuration.Account(name=ids.AccountName(command.name.text))
    _put_account(draft, account, command.options)


def change_account(
    command: command_model.ChangeAccount, draft: command_draft.Draft
) -> None:
    """Set fields of an existing account."""
    account = draft.accounts.find(command.name)
    if account is not None:
        _put_account(draft, account, command.assignments)


def _put_account(
    draft: command_draft.Draft,
    account: configuration.Account,
    assignments: tuple[command_model.Assignment, ...],
) -> None:
    fields = command_fields.ACCOUNT_FIELDS_BY_NAME
    updates = command_fields.parse_updates(assignments, fields, draft.found)
    draft.accounts.put(account.name, draft.with_updates(account, updates))


def enable_account(
    command: command_model.EnableAccount, draft: command_draft.Draft
) -> None:
    """Enable or disable an account."""
    account = draft.accounts.find(command.name)
    if account is not None:
        changed = account.model_copy(update={"enabled": command.enabled})
        draft.accounts.put(account.name, changed)


def create_key(command: command_model.CreateKey, draft: command_draft.Draft) -> None:
    """Create an API key for an account."""
    account = draft.accounts.find(command.account)
    if account is None:
        return
    if len(account.keys) >= MAX_KEYS_PER_ACCOUNT:
        message = f"{account.name!r} has {MAX_KEYS_PER_ACCOUNT} keys; revoke one first"
        draft.found.add(command.account.place, message)
        return
    new = draft.make_key()
    keys = (*account.keys, new.stored)
    draft.accounts.put(account.name, account.model_copy(update={"keys": keys}))
    created = command_draft.CreatedKey(account.name, new.stored.key_id, new.key)
    draft.created_keys.append(created)


def revoke_key(command: command_model.RevokeKey, draft: command_draft.Draft) -> None:
    """Remove an API key of an account."""
    account = draft.accounts.find(command.account)
    if account is None:
        return
    key_ids = [key.key_id for key in account.keys]
    if command.key_id.text not in key_ids:
        message = messages.unknown("key", command.key_id.text, key_ids)
        draft.found.add(command.key_id.place, message)
    keys = tuple(key for key in account.keys if key.key_id != command.key_id.text)
    draft.accounts.put(account.name, account.model_copy(update={"keys": keys}))


RULES: Final = (
    create_account,
    change_account,
    enable_account,
    create_key,
    revoke_key,
)
