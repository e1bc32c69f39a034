"""Orders to the stand-in engine: loads of weights and adapters, and roles."""

import asyncio
import enum

import pydantic
from tornado import httpclient

from standins import engine_scheduler


class OrderKind(enum.Enum):
    """Kind of order."""

    LOAD_VERSION = "load-version"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    SET_ROLE = "set-role"


class Order(pydantic.BaseModel):
    """One order, with the fencing number of its sender's lease."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    kind: OrderKind
    value: str
    fencing_number: int


class StaleOrderError(Exception):
    """The order's fencing number is below that of an earlier order."""


class WeightLoadError(Exception):
    """The weight store did not deliver the version."""


class OrderExecutor:
    """Executes orders one at a time.

    Parameters
    ----------
    weight_store : str
        Base URL of the weight store; empty to load without one.
    checks_fencing : bool
        Whether orders with a lower fencing number than an earlier one are refused.
    """

    def __init__(
        self,
        scheduler: engine_scheduler.Scheduler,
        adapters: tuple[str, ...],
        weight_store: str,
        checks_fencing: bool,
    ) -> None:
        self.adapters = set(adapters)
        self.role = ""
        self._scheduler = scheduler
        self._weight_store = weight_store
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0
        self._lock = asyncio.Lock()

    async def execute(self, order: Order) -> None:
        """Execute one order.

        Raises
        ------
        StaleOrderError
            If fencing is checked and the fencing number is outdated; also if an order
            with a higher number arrived while this one was executed.
        WeightLoadError
            If the weight store failed.
        """
        self._check_fencing(order)
        async with self._lock:
            self._check_fencing(order)
            match order.kind:
                case OrderKind.LOAD_VERSION:
                    await self._load_version(order)
                case OrderKind.LOAD_ADAPTER:
                    self.adapters.add(order.value)
                case OrderKind.UNLOAD_ADAPTER:
                    self.adapters.discard(order.value)
                case OrderKind.SET_ROLE:
                    self.role = order.value

    def _check_fencing(self, order: Order) -> None:
        if not self._checks_fencing:
            return
        if order.fencing_number < self._highest_fencing_number:
            raise StaleOrderError(
                f"fencing number {order.fencing_number} is below "
                f"{self._highest_fencing_number}"
            )
        self._highest_fencing_number = order.fencing_number

    async def _load_version(self, order: Order) -> None:
        if order.value == self._scheduler.weight_version:
            return
        if self._weight_store:
            url = f"{self._weight_store}/weights/{order.value}"
            client = httpclient.AsyncHTTPClient()
            try:
                await client.fetch(url, request_timeout=60)
            except (httpclient.HTTPError, OSError) as error:
                raise WeightLoadError(str(error)) from error
        self._check_fencing(order)
        self._scheduler.change_weight_version(order.value)
