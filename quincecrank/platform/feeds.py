"""Decodes rows of the store into what operators and backend servers said."""

from quincecrank import store_rows
from quincecrank.gateway import deployment, servers, weights
from quincecrank.platform import documents, names

OperatorUpdate = deployment.Deployment | weights.NamedWeights


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
        return weights.NamedWeights(*documents.named_weights(row.text))
    return None


def server_update(row: store_rows.Row) -> servers.ServerEntry | None:
    """Decode a row of a backend server; None if the row was removed.

    Raises
    ------
    DocumentError
        If the row has another form.
    """
    return None if row.is_removed else documents.server_entry(row.key, row.text)
