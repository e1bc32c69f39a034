"""A fleet of gateways that run with a mutation; see `wrapped_program`."""

import os
from collections.abc import Mapping, Sequence

from standins import launcher, platform_fleet


class MutableFleet(platform_fleet.PlatformFleet):
    """Starts gateways with the mutation that `QUINCE_MUTATION` names, if any."""

    def launch(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
    ) -> launcher.Process:
        if module != "quincecrank.gateway" or not os.environ.get("QUINCE_MUTATION"):
            return super().launch(name, module, arguments, environment)
        added = {
            **(environment or {}),
            "WRAPPED_MODULE": "quincecrank.gateway.main",
            "WRAPPED_NAME": name,
        }
        return super().launch(name, "tests.wrapped_program", arguments, added)
