"""A caller that sends requests to gateways throughout a test or drill."""

import http.client
import threading
from collections.abc import Sequence
from typing import Final

from standins import platform_fleet

INTERVAL_S: Final = 0.02
TIMEOUT_S: Final = 60.0
"""Timeout of one request; long enough that only a hang reaches it."""


class SteadyCaller:
    """Sends requests to gateways in turn, from a thread; a context manager.

    Requests are sent one after another, from entering the context until its end.

    Attributes
    ----------
    statuses : list of int
        HTTP status of each answer; 0 for a request that got none.
    """

    def __init__(
        self, fleet: platform_fleet.PlatformFleet, gateways: Sequence[str]
    ) -> None:
        self._fleet = fleet
        self._gateways = gateways
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.statuses: list[int] = []

    def __enter__(self) -> "SteadyCaller":
        self._thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(INTERVAL_S):
            number = len(self.statuses)
            gateway = self._gateways[number % len(self._gateways)]
            self.statuses.append(
                self._request_status(gateway, f"steady-{gateway}-{number}")
            )

    def _request_status(self, gateway: str, request_id: str) -> int:
        connection = self._fleet.connect(gateway, TIMEOUT_S)
        headers = platform_fleet.caller_headers(request_id)
        try:
            connection.request("GET", "/look/x", None, headers)
            response = connection.getresponse()
            response.read()
            return response.status
        except (http.client.HTTPException, OSError):
            return 0
        finally:
            connection.close()
