"""Tracks backend servers that are leaving, as the VM list, operators and peers report them."""

import structlog

from toucanlead_kv.vm_list import VmList, VmState

from .context import Context

log = structlog.get_logger()

OBSERVED_TTL_S = 60.0
REPORTED_TTL_S = 30.0


class LeavingBackends:
    """Holds the addresses of leaving backend servers, and marks their replicas as leaving.

    Addresses observed here or reported by peers expire unless renewed; drained
    ones do not. The VM list reaches each entry with a different delay, so an entry
    reports what it has observed to its peers in probes.
    """

    def __init__(self, ctx: Context) -> None:
        """Start with no addresses; the replicas are those of `ctx.fleet`."""
        self._ctx = ctx
        self._expires_at: dict[str, float] = {}
        self._observed: set[str] = set()
        self._drained: set[str] = set()

    def set_observed(self, addresses: set[str]) -> None:
        """Replace the addresses that this entry has observed to be leaving."""
        now = self._ctx.timers.now()
        for address in self._observed - addresses:
            self._expires_at.pop(address, None)
        self._observed = set(addresses)
        self._expires_at.update(dict.fromkeys(addresses, now + OBSERVED_TTL_S))
        self._update_replicas()

    def add_reported(self, addresses: list[str]) -> None:
        """Add addresses that a peer reports as leaving."""
        expires_at = self._ctx.timers.now() + REPORTED_TTL_S
        for address in addresses:
            self._expires_at[address] = max(expires_at, self._expires_at.get(address, 0.0))
        self._update_replicas()

    def set_drained(self, addresses: set[str]) -> None:
        """Replace the addresses that operators have drained."""
        self._drained = addresses
        self._update_replicas()

    def observed(self) -> list[str]:
        """Return the addresses that this entry observed itself, for its peers."""
        return sorted(self._observed)

    def unavailable(self) -> list[str]:
        """Return the addresses of all servers that get no new work."""
        now = self._ctx.timers.now()
        return sorted(self._drained | {a for a, expiry in self._expires_at.items() if expiry > now})

    def _update_replicas(self) -> None:
        unavailable = set(self.unavailable())
        for replica in self._ctx.fleet.replicas.values():
            leaving = replica.address in unavailable
            if leaving != replica.leaving:
                replica.leaving = leaving
                log.info('replica_leaving_changed', replica=replica.name, leaving=leaving)


class BackendWatch:
    """Polls the platform's VM list for backend servers that are leaving."""

    def __init__(self, leaving_backends: LeavingBackends, vms: VmList) -> None:
        """Read `vms`, and record what is leaving in `leaving_backends`."""
        self._leaving_backends = leaving_backends
        self._vms = vms
        self._seen_addresses: set[str] = set()

    async def poll(self) -> None:
        """Read the list once; a VM that has disappeared from it counts as leaving."""
        vms = await self._vms.read()
        listed = {vm.address for vm in vms}
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        self._leaving_backends.set_observed(leaving | (self._seen_addresses - listed))
        self._seen_addresses |= listed
