"""Decodes store rows into updates by operators and backend servers."""

from quincecrank import checked_values, ids, store_rows
from quincecrank.gateway import deployment, servers, weights
from quincecrank.platform import documents, names

OperatorUpdate = deployment.Deployment | weights.TargetWeights


def operator_update(
    row: store_rows.Row, decoder: documents.ConfigurationDecoder
) -> OperatorUpdate | None:
    """Decode a row of the operator's table.

    Returns None for a removed row and for one that gateways don't use.

    Raises
    ------
    DocumentError
        If the row is malformed.
    """
    if row.is_removed:
        return None
    if row.key == names.CONFIGURATION_KEY:
        return decoder.decode(row.text)
    if row.key.startswith(names.WEIGHTS_KEY_PREFIX):
        return weights.TargetWeights(*documents.target_weights(row.text))
    return None


def evacuated_data_centre(row: store_rows.Row) -> ids.DataCentre | None:
    """Return the data centre that a row of the operator's table evacuates.

    The row's presence alone counts, whatever its text.  None for other rows, and for a
    name that no data centre can have.
    """
    if not row.key.startswith(names.EVACUATION_KEY_PREFIX):
        return None
    try:
        name = checked_values.name(row.key.removeprefix(names.EVACUATION_KEY_PREFIX))
    except ValueError:
        return None
    return ids.DataCentre(name)


def server_update(row: store_rows.Row) -> servers.ServerEntry | None:
    """Decode a row of a backend server; None if the row was removed.

    Raises
    ------
    DocumentError
        If the row is malformed.
    """
    return None if row.is_removed else documents.server_entry(row.key, row.text)
