"""Backend watch: replicas that are leaving, by the VM list, operators and peers."""

import structlog

from toucanlead_kv.vmlist import VmList, VmState

from .context import Context

log = structlog.get_logger()

OWN_MARK_S = 60.0
HEARD_MARK_S = 30.0


class LeavingMarks:
    """Addresses of backend servers that are leaving; marks lapse unless renewed.

    The list lags differently at each entry, so whoever reads a mark first
    tells the others by probes.
    """

    def __init__(self, ctx: Context) -> None:
        """Start without marks."""
        self._ctx = ctx
        self._until: dict[str, float] = {}
        self._own: set[str] = set()
        self._drained: set[str] = set()

    def read(self, addresses: set[str]) -> None:
        """Take what this entry itself has read."""
        now = self._ctx.timers.now()
        for address in self._own - addresses:
            self._until.pop(address, None)
        self._own = set(addresses)
        self._until.update(dict.fromkeys(addresses, now + OWN_MARK_S))
        self._apply()

    def hear(self, addresses: list[str]) -> None:
        """Take what a peer says."""
        until = self._ctx.timers.now() + HEARD_MARK_S
        for address in addresses:
            self._until[address] = max(until, self._until.get(address, 0.0))
        self._apply()

    def drain(self, addresses: set[str]) -> None:
        """Take the operators' drains, which last until they are lifted."""
        self._drained = addresses
        self._apply()

    def spread(self) -> list[str]:
        """Return what this entry tells its peers: what it read itself."""
        return sorted(self._own)

    def current(self) -> list[str]:
        """Return all addresses that get no new work."""
        now = self._ctx.timers.now()
        return sorted(self._drained | {a for a, until in self._until.items() if until > now})

    def _apply(self) -> None:
        marked = set(self.current())
        for replica in self._ctx.fleet.replicas.values():
            leaving = replica.address in marked
            if leaving != replica.leaving:
                replica.leaving = leaving
                log.info('replica_marked', replica=replica.name, leaving=leaving)


class BackendWatch:
    """Polls the platform's list."""

    def __init__(self, marks: LeavingMarks, vms: VmList) -> None:
        """Take the list."""
        self._marks = marks
        self._vms = vms
        self._seen: set[str] = set()

    async def poll(self) -> None:
        """Read the list once; a VM that was on it and is gone is leaving too."""
        vms = await self._vms.read()
        listed = {vm.address for vm in vms}
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        self._marks.read(leaving | (self._seen - listed))
        self._seen |= listed
