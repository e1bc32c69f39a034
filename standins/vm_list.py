"""Stand-in of the platform's VM list, which lags behind the actual state.

`GET /vms` answers with the list as of `lag_ms` milliseconds ago; `PUT /vms/NAME` and
`DELETE /vms/NAME` change the actual state.

Faults
------
down : bool
    Requests for the list are answered by 503.
frozen : bool
    The visible list does not change until the switch is cleared.
"""

import collections
import json
from typing import Any, Final

import fire
from tornado import web

from quincecrank import clock as clocks
from standins import serving

LAG_MS: Final = 2000
FIELDS: Final = frozenset(
    {
        "address",
        "port",
        "data_centre",
        "state",
        "role",
        "backend_server",
        "deployment",
    }
)

Document = dict[str, Any]


class ListFaults(serving.Faults):
    """Fault switches of the list."""

    down: bool = False
    frozen: bool = False


class LaggingList:
    """The VMs, with the delayed view of them that callers get."""

    def __init__(self, lag_ms: int, clock: clocks.Clock) -> None:
        self.faults = ListFaults()
        self._lag_ms = lag_ms
        self._clock = clock
        self._visible_by_name: dict[str, Document] = {}
        self._pending: collections.deque[tuple[int, str, Document | None]] = (
            collections.deque()
        )

    def change(self, name: str, vm: Document | None) -> None:
        """Set a VM's document, or remove the VM with None; visible after the lag."""
        due_ms = self._clock.now_ms() + self._lag_ms
        self._pending.append((due_ms, name, vm))

    def visible(self) -> list[Document]:
        """Apply the changes that are due and return the list that callers get now."""
        now = self._clock.now_ms()
        while not self.faults.frozen and self._pending and self._pending[0][0] <= now:
            _, name, vm = self._pending.popleft()
            if vm is None:
                self._visible_by_name.pop(name, None)
            else:
                self._visible_by_name[name] = vm
        return list(self._visible_by_name.values())


class ListHandler(web.RequestHandler):
    """`GET /vms`: the VM list."""

    def initialize(self, vms: LaggingList) -> None:
        """Receive the list from the routing rule."""
        self._vms = vms

    def get(self) -> None:
        """Answer with the lagging list."""
        if self._vms.faults.down:
            self.set_status(503)
            return
        self.finish({"vms": self._vms.visible()})


class VmHandler(web.RequestHandler):
    """`PUT` and `DELETE /vms/NAME`: changes one VM."""

    def initialize(self, vms: LaggingList) -> None:
        """Receive the list from the routing rule."""
        self._vms = vms

    def put(self, name: str) -> None:
        """Set a VM's document; unknown fields are answered by 400."""
        try:
            vm = json.loads(self.request.body)
            unknown = set(vm) - FIELDS - {"name"}
        except (TypeError, ValueError):
            unknown = {"body"}
        if unknown:
            self.set_status(400)
            self.finish(f"unknown fields: {sorted(unknown)}")
            return
        self._vms.change(name, {**vm, "name": name})

    def delete(self, name: str) -> None:
        """Remove a VM."""
        self._vms.change(name, None)


def make_application(vms: LaggingList) -> web.Application:
    """Return the HTTP application of a VM list."""
    return web.Application(
        [
            serving.faults_rule(vms.faults),
            (r"/vms", ListHandler, {"vms": vms}),
            (r"/vms/([^/]+)", VmHandler, {"vms": vms}),
        ]
    )


def main(port: int = 0, lag_ms: int = LAG_MS) -> None:
    """Serve a VM list that lags by `lag_ms` milliseconds."""
    serving.run(make_application(LaggingList(lag_ms, clocks.SystemClock())), port)


if __name__ == "__main__":
    fire.Fire(main)
