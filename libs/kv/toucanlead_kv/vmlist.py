"""The platform's lagging list of live and leaving VMs."""

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
    """What the platform says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen
class Vm:
    """One VM on the list, by the address of its process."""

    address: str
    zone: str
    state: VmState


class VmList(abc.ABC):
    """The list; it lags, so it is one source among others."""

    @abc.abstractmethod
    async def read(self) -> list[Vm]:
        """Return the list."""


class HttpVmList(VmList):
    """The list over HTTP as a JSON array."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Take the shared client session and the service's host:port."""
        self._session = session
        self._address = address

    async def read(self) -> list[Vm]:
        """Return the list."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.get(f'http://{self._address}/vms', timeout=timeout) as resp:
                return structure(orjson.loads(await resp.read()), list[Vm])
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise OutcomeUnknown(repr(exc), step='vm list', peer=self._address) from exc
