"""Backend watch: marks replicas whose VM is leaving, from the platform's list."""

import structlog

from toucanlead_platform.vmlist import VmList, VmState

from .context import Context

log = structlog.get_logger()


class BackendWatch:
    """Polls the list; a VM that is leaving, or gone from it, gets nothing new."""

    def __init__(self, ctx: Context, vms: VmList) -> None:
        """Take the list."""
        self._ctx = ctx
        self._vms = vms

    async def poll(self) -> None:
        """Read the list once and mark the replicas."""
        states = {vm.address: vm.state for vm in await self._vms.read()}
        for replica in self._ctx.fleet.replicas.values():
            leaving = states.get(replica.address) is not VmState.LIVE
            if replica.address and leaving != replica.leaving:
                replica.leaving = leaving
                log.info('replica_marked', replica=replica.name, leaving=leaving)
