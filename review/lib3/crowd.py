"""Clients that nobody controls, in a process of their own: bodies in chunks of one byte.

Arguments: host, port, the host name of the route, the number of clients, the bytes of content of
each body, and the Mbit/s of all together. Each client stops one byte short and stays open.
"""

import asyncio
import sys
import time

from .fleet import new_id

PIECE_CHUNKS = 1000
CHUNK = b'1\r\nx\r\n'
COME_AGAIN_S = 0.1
STAY_S = 60.0


class Rate:
    """The rate of all clients together."""

    def __init__(self, mbit_per_s: float) -> None:
        self._bytes_per_s = mbit_per_s * 1e6 / 8
        self._free_at = time.monotonic()
        self.sent = 0

    async def wait(self, size: int) -> None:
        """Wait until so many bytes may be sent."""
        self.sent += size
        self._free_at = max(self._free_at, time.monotonic()) + size / self._bytes_per_s
        await asyncio.sleep(max(0.0, self._free_at - time.monotonic()))


async def client(address: tuple[str, int], host: str, content: int, rate: Rate) -> None:
    """Send a body that stops short of its end, and stay; come again if the connection ends."""
    while True:
        try:
            await send_body(address, host, content, rate)
        except OSError:
            await asyncio.sleep(COME_AGAIN_S)


async def send_body(address: tuple[str, int], host: str, content: int, rate: Rate) -> None:
    """Send a body that stops short of its end, and stay; raise OSError if that is refused."""
    head = (
        f'POST /booking/2f HTTP/1.1\r\nHost: {host}\r\nToucanlead-Request-Id: {new_id()}\r\n'
        'Toucanlead-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    _, writer = await asyncio.open_connection(*address)
    try:
        writer.write(head.encode())
        for _ in range((content - 1) // PIECE_CHUNKS):
            await rate.wait(PIECE_CHUNKS * len(CHUNK))
            writer.write(CHUNK * PIECE_CHUNKS)
            await writer.drain()
        await asyncio.sleep(STAY_S)
    finally:
        writer.close()


async def main() -> None:
    """Run the clients for a minute at most."""
    host, port, name, clients, content, mbit_per_s = sys.argv[1:]
    rate = Rate(float(mbit_per_s))
    tasks = [
        asyncio.ensure_future(client((host, int(port)), name, int(content), rate))
        for _ in range(int(clients))
    ]
    try:
        async with asyncio.timeout(60):
            await asyncio.gather(*tasks)
    except TimeoutError:
        return


if __name__ == '__main__':
    asyncio.run(main())
