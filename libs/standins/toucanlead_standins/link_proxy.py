"""TCP proxy on loopback that adds the latency and rate of the link between regions."""

import asyncio
import socket

from attrs import define, field

READ_BYTES = 16_384


@define
class Link:
    """The shared link between regions: latency, rate per direction, and bytes carried."""

    latency_s: float
    bytes_per_s: float
    carried_bytes: int = 0
    _free_at: dict[str, float] = field(factory=dict)

    def reserve(self, direction: str, size: int, now: float) -> float:
        """Reserve the link for bytes sent now; return the time at which they arrive."""
        start = max(now, self._free_at.get(direction, 0.0))
        self._free_at[direction] = start + size / self.bytes_per_s
        self.carried_bytes += size
        return self._free_at[direction] + self.latency_s


class LinkProxy:
    """Listens on one port and forwards its connections over a link to a target.

    `host` and `port` are the target's. Proxies with the same `direction`, a name for the
    direction towards the target, share the link's rate.
    """

    def __init__(self, link: Link, host: str, port: int, *, direction: str) -> None:
        self._link = link
        self._target = (host, port)
        self._direction = direction
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port and set `address`."""
        sock = socket.create_server(('127.0.0.1', 0), backlog=1024)
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.address = f'127.0.0.1:{sock.getsockname()[1]}'

    async def stop(self) -> None:
        """Close the port and its connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._forward(reader, target_writer, self._direction),
                self._forward(target_reader, writer, f'back {self._direction}'),
            )
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue = asyncio.Queue(maxsize=256)
        sender = loop.create_task(_send_when_due(queue, writer))
        try:
            while data := await reader.read(READ_BYTES):
                due = self._link.reserve(direction, len(data), loop.time())
                await queue.put((due, data))
            await queue.put(None)
            await sender
        finally:
            sender.cancel()
            writer.close()


async def _send_when_due(queue: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
    loop = asyncio.get_running_loop()
    while (item := await queue.get()) is not None:
        due, data = item
        delay_s = due - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        writer.write(data)
        await writer.drain()
