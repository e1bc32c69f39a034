"""Decodes rows of the store into what operators and backend servers said."""

import dataclasses

from quincecrank import store_rows
from quincecrank.gateway import deployment, servers
from quincecrank.platform import documents, names


@dataclasses.dataclass(frozen=True, slots=True)
class NamedWeights:
    """The operator's choice of the weights of a model."""

    model: deployment.ModelName
    version: int


OperatorUpdate = deployment.Deployment | NamedWeights


def operator_update(row: store_rows.Row) -> OperatorUpdate | None:
    """Decode a row of the operator; None for a row that gateways don't use.

    Raises
    ------
    DocumentError
        If the row has another form.
    """
    if row.is_removed:
        return None
    if row.key == names.CONFIGURATION_KEY:
        return documents.configuration(row.text)
    if row.key.startswith(names.WEIGHTS_KEY_PREFIX):
        return NamedWeights(*documents.named_weights(row.text))
    return None


def server_update(row: store_rows.Row) -> servers.ServerEntry | None:
    """Decode a row of a backend server; None if the row was removed.

    Raises
    ------
    DocumentError
        If the row has another form.
    """
    return None if row.is_removed else documents.server_entry(row.key, row.text)
