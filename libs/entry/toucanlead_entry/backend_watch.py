"""Backend watch: replicas that are leaving, by the VM list, operators and peers."""

import structlog

from toucanlead_kv.vmlist import VmList, VmState

from .context import Context

log = structlog.get_logger()

OBSERVED_TTL_S = 60.0
REPORTED_TTL_S = 30.0


class LeavingMarks:
    """Addresses of backend servers that are leaving; marks lapse unless renewed.

    The list lags differently at each entry, so whoever reads a mark first
    tells the others by probes.
    """

    def __init__(self, ctx: Context) -> None:
        """Start without marks."""
        self._ctx = ctx
        self._expires_at: dict[str, float] = {}
        self._observed: set[str] = set()
        self._drained: set[str] = set()

    def set_observed(self, addresses: set[str]) -> None:
        """Take what this entry itself has read."""
        now = self._ctx.timers.now()
        for address in self._observed - addresses:
            self._expires_at.pop(address, None)
        self._observed = set(addresses)
        self._expires_at.update(dict.fromkeys(addresses, now + OBSERVED_TTL_S))
        self._update_replicas()

    def add_reported(self, addresses: list[str]) -> None:
        """Take what a peer says."""
        expires_at = self._ctx.timers.now() + REPORTED_TTL_S
        for address in addresses:
            self._expires_at[address] = max(expires_at, self._expires_at.get(address, 0.0))
        self._update_replicas()

    def set_drained(self, addresses: set[str]) -> None:
        """Take the operators' drains, which last until they are lifted."""
        self._drained = addresses
        self._update_replicas()

    def observed(self) -> list[str]:
        """Return what this entry tells its peers: what it read itself."""
        return sorted(self._observed)

    def unavailable(self) -> list[str]:
        """Return all addresses that get no new work."""
        now = self._ctx.timers.now()
        return sorted(self._drained | {a for a, expiry in self._expires_at.items() if expiry > now})

    def _update_replicas(self) -> None:
        unavailable = set(self.unavailable())
        for replica in self._ctx.fleet.replicas.values():
            leaving = replica.address in unavailable
            if leaving != replica.leaving:
                replica.leaving = leaving
                log.info('replica_marked', replica=replica.name, leaving=leaving)


class BackendWatch:
    """Polls the platform's list."""

    def __init__(self, leaving_backends: LeavingMarks, vms: VmList) -> None:
        """Take the list."""
        self._leaving_backends = leaving_backends
        self._vms = vms
        self._seen_addresses: set[str] = set()

    async def poll(self) -> None:
        """Read the list once; a VM that was on it and is gone is leaving too."""
        vms = await self._vms.read()
        listed = {vm.address for vm in vms}
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        self._leaving_backends.set_observed(leaving | (self._seen_addresses - listed))
        self._seen_addresses |= listed
