"""Retry budgets of all deployments at one entry."""

import random

from quincecrank import clock as clocks
from quincecrank import ids, request_context, retry_budget


class RetryBudgets:
    """The retry budget of each deployment."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._budgets_by_deployment: dict[
            ids.DeploymentName, retry_budget.RetryBudget
        ] = {}

    def record_first_attempt(self, context: request_context.RequestContext) -> None:
        """Count the first attempt of a request."""
        self._budget(context).record_first_attempt()

    def try_spend(self, context: request_context.RequestContext) -> bool:
        """Take one retry from the deployment's budget; False if none is left."""
        return self._budget(context).try_spend(self._clock.now_ms())

    def _budget(
        self, context: request_context.RequestContext
    ) -> retry_budget.RetryBudget:
        name = context.deployment.name
        budget = self._budgets_by_deployment.get(name)
        if budget is None:
            budget = retry_budget.RetryBudget(self._clock.now_ms())
            self._budgets_by_deployment[name] = budget
        return budget


def backoff_ms(retry: int, generator: random.Random) -> float:
    """Return the random delay before retry number `retry`, counted from 0."""
    return retry_budget.backoff_ms(retry, generator)
