"""What the kernel says of the buffers of a connection, on real sockets."""

import asyncio
import errno
import socket

from toucanlead_core import kernel_buffers
from toucanlead_core.kernel_buffers import UNSENT_BYTES, KernelBuffers, KernelBytes

PIECE = b'x' * 65_536
LONG = b'y' * 4_194_304
SLACK_BYTES = 262_144  # on its way, and in the transport


class Recorder(asyncio.Protocol):
    """Keeps its transport, and how it ended."""

    def __init__(self):
        self.transport = None
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        self.ended.set_result(exc)


def with_connection(scenario):
    """Run a scenario with the transport of a server's connection, and the client's socket."""

    async def play():
        loop = asyncio.get_running_loop()
        protocols = []

        def connect():
            protocols.append(Recorder())
            return protocols[-1]

        server = await loop.create_server(connect, '127.0.0.1', 0)
        sock = socket.socket()
        sock.setblocking(False)
        async with asyncio.timeout(10.0):
            await loop.sock_connect(sock, server.sockets[0].getsockname())
            while not protocols or protocols[0].transport is None:
                await asyncio.sleep(0)
            try:
                await scenario(protocols[0], sock)
            finally:
                sock.close()
                server.close()

    asyncio.run(play())


class TestMeasure:
    def test_what_has_arrived_and_is_not_read_counts(self):
        @with_connection
        async def scenario(conn, sock):
            conn.transport.pause_reading()
            buffers = KernelBuffers()
            await asyncio.get_running_loop().sock_sendall(sock, b'x' * 5000)
            while buffers.measure(conn.transport) != KernelBytes(unread=5000):
                await asyncio.sleep(0.001)

    def test_an_answer_counts_until_the_client_has_taken_it(self):
        @with_connection
        async def scenario(conn, sock):
            buffers = KernelBuffers()
            conn.transport.write(LONG)
            await asyncio.sleep(0.01)
            held = buffers.measure(conn.transport).unsent
            assert len(LONG) // 4 < held <= len(LONG)
            loop = asyncio.get_running_loop()
            taken = 0
            while taken < len(LONG):
                taken += len(await loop.sock_recv(sock, 1 << 20))
            while buffers.measure(conn.transport).total:
                await asyncio.sleep(0.001)

    def test_nothing_is_counted_where_the_kernel_cannot_tell(self, monkeypatch):
        @with_connection
        async def scenario(conn, sock):
            asked = []

            def refuse(*args):
                asked.append(args)
                raise OSError(errno.ENOTTY, 'not supported')

            monkeypatch.setattr(kernel_buffers.fcntl, 'ioctl', refuse)
            buffers = KernelBuffers()
            for _ in range(3):
                assert buffers.measure(conn.transport) == KernelBytes()
            assert len(asked) == 1
            assert not buffers.supported


class TestLimits:
    def test_the_kernel_takes_little_of_an_answer_that_nobody_reads(self):
        @with_connection
        async def scenario(conn, sock):
            kernel_buffers.limit_unsent(conn.transport)
            conn.transport.write(LONG)
            await asyncio.sleep(0.05)
            waiting = conn.transport.get_write_buffer_size()
            in_kernel = KernelBuffers().measure(conn.transport).unsent - waiting
            assert in_kernel <= UNSENT_BYTES + SLACK_BYTES

    def test_a_reset_connection_ends_at_once_and_its_answer_is_no_longer_sent(self):
        @with_connection
        async def scenario(conn, sock):
            conn.transport.write(LONG)
            await asyncio.sleep(0.01)
            kernel_buffers.reset(conn.transport)
            await conn.ended
            loop = asyncio.get_running_loop()
            taken = 0
            try:
                while data := await loop.sock_recv(sock, 1 << 20):
                    taken += len(data)
            except ConnectionResetError:
                pass
            assert taken < len(LONG)
