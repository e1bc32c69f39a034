"""Client of the administration API."""

import dataclasses
from typing import Final

import expression
import pycurl
import pydantic
from tornado import curl_httpclient, httpclient

from quincecrank import admin_messages, curl_client
from quincecrank import clock as clocks

VERSION_QUERY: Final = "show tiers limit 0"
"""Query with a small answer, sent to learn the configuration version."""

_TLS_FAILURES: Final = frozenset(
    (
        pycurl.E_SSL_CONNECT_ERROR,
        pycurl.E_PEER_FAILED_VERIFICATION,
        pycurl.E_SSL_CACERT_BADFILE,
    )
)


class EndpointUnreachableError(Exception):
    """No connection could be made, so nothing was executed."""


class AnswerLostError(Exception):
    """The request was sent without a complete answer; it may have taken effect."""


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Address and credentials for the administration API.

    Attributes
    ----------
    url : str
        Base URL of the endpoint.
    token : str
        Bearer token of the operator.
    timeout_ms : int
        Limit for the connection, and for the complete request.
    ca_file : str, optional
        PEM file of the certificate authority that signed the server's certificate.
    """

    url: str
    token: str = dataclasses.field(repr=False)
    timeout_ms: int
    ca_file: str | None = None


Answer = expression.Result[admin_messages.CommandAnswer, admin_messages.ProblemBody]


async def send(endpoint: Endpoint, request: admin_messages.CommandRequest) -> Answer:
    """Send one text and return the answer or the server's problem document.

    Raises
    ------
    EndpointUnreachableError
        If no connection could be made; nothing was executed.
    AnswerLostError
        If no complete answer arrived, or it is not a document of this API.
    """
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(_http_request(endpoint, request), False)
    except curl_httpclient.CurlError as error:
        if curl_client.never_connected(error):
            raise EndpointUnreachableError("cannot connect") from error
        if error.errno in _TLS_FAILURES:
            message = f"the TLS handshake failed: {error.message}"
            raise EndpointUnreachableError(message) from error
        raise AnswerLostError(str(error)) from error
    except (httpclient.HTTPError, OSError) as error:
        raise AnswerLostError(str(error)) from error
    finally:
        client.close()
    return _parse_response(response)


def _http_request(
    endpoint: Endpoint, request: admin_messages.CommandRequest
) -> httpclient.HTTPRequest:
    seconds = endpoint.timeout_ms / clocks.MS_PER_SECOND
    return httpclient.HTTPRequest(
        endpoint.url.rstrip("/") + admin_messages.COMMANDS_PATH,
        method="POST",
        headers={
            "Authorization": f"Bearer {endpoint.token}",
            "Content-Type": "application/json",
        },
        body=request.model_dump_json(),
        connect_timeout=seconds,
        request_timeout=seconds,
        follow_redirects=False,
        ca_certs=endpoint.ca_file,
        prepare_curl_callback=curl_client.use_new_connection,
    )


def _parse_response(response: httpclient.HTTPResponse) -> Answer:
    try:
        if response.code == 200:
            answer = admin_messages.CommandAnswer.model_validate_json(response.body)
            return expression.Ok(answer)
        problem = admin_messages.ProblemBody.model_validate_json(response.body)
        return expression.Error(problem)
    except pydantic.ValidationError as error:
        message = f"status {response.code} without a document of this API"
        raise AnswerLostError(message) from error
