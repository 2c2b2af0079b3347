"""The platform's list of live and leaving VMs, which may be out of date."""

import abc
import asyncio
from enum import Enum

import aiohttp
import orjson
from attrs import frozen

from toucanlead_core.codec import structure
from toucanlead_core.errors import OutcomeUnknown

REQUEST_TIMEOUT_S = 2.0


class VmState(str, Enum):
    """The state of a VM according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen
class Vm:
    """A VM in the list, identified by the address of its process."""

    address: str
    zone: str
    state: VmState


class VmList(abc.ABC):
    """The platform's VM list; it may be out of date, so callers combine it with other sources."""

    @abc.abstractmethod
    async def read(self) -> list[Vm]:
        """Return all VMs in the list; raise OutcomeUnknown if it cannot be read."""


class HttpVmList(VmList):
    """The VM list as a JSON array served over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use a shared client session; `address` is the service's host:port."""
        self._session = session
        self._address = address

    async def read(self) -> list[Vm]:
        """Return all VMs in the list; raise OutcomeUnknown if it cannot be read."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.get(f'http://{self._address}/vms', timeout=timeout) as resp:
                return structure(orjson.loads(await resp.read()), list[Vm])
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise OutcomeUnknown(repr(exc), step='vm list', peer=self._address) from exc
