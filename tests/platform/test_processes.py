"""Entry and archive processes run by command without a key-value service, and their logs."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from toucanlead.logs import MAX_BUFFER_BYTES, LogWriter
from toucanlead.status import ExitStatus

from ..utils.command import toucanlead

LIMIT_S = 20.0  # a process starts in 0.5 s and stops within its grace period of 8 s

SETTINGS = """
[process]
name = 'front-1'
zone = 'centro-a'
region = 'centro'

[listen]
callers = '127.0.0.1:{callers}'
readiness = '127.0.0.1:{readiness}'
peers = '127.0.0.1:{peers}'
metrics = '127.0.0.1:{metrics}'

[service]
address = '127.0.0.1:{nothing}'

[archive]
folder = '{folder}'

[tolerance]
vms = {tolerance}

[zones]
centro-a = 'centro'
"""
PORTS = ('callers', 'readiness', 'peers', 'metrics', 'nothing')


def free_ports(count):
    """Return ports that are free at the time of the call."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class RunningProcess:
    """A command running as a subprocess, with its settings file and log."""

    def __init__(self, tmp_path, *command):
        self.ports = dict(zip(PORTS, free_ports(len(PORTS))))
        self.path = tmp_path / 'settings.toml'
        self.folder = tmp_path
        self.write(tolerance=1)
        self.log_path = tmp_path / 'log'
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'toucanlead', *command, '--config', str(self.path)],
                stdout=log,
                stderr=log,
            )

    def write(self, tolerance):
        """Write the settings file."""
        text = SETTINGS.format(folder=self.folder / 'disk', tolerance=tolerance, **self.ports)
        self.path.write_text(text)

    def log(self):
        """Return the log so far."""
        return self.log_path.read_text()

    def until_logged(self, text):
        """Wait until the log contains the text."""
        end = time.monotonic() + LIMIT_S
        while text not in self.log():
            assert time.monotonic() < end, f'{text} not in {self.log()}'
            time.sleep(0.05)

    def status_of(self, port, path='/'):
        """Return the HTTP status of a request to a port."""
        headers = {'Toucanlead-Request-Id': 'r1', 'Toucanlead-Deadline-Ms': '2000'}
        req = urllib.request.Request(f'http://127.0.0.1:{self.ports[port]}{path}', headers=headers)
        try:
            with urllib.request.urlopen(req) as resp:
                return resp.status
        except urllib.error.HTTPError as exc:
            return exc.code


@pytest.fixture
def running(tmp_path):
    """Return a function that starts a command as a subprocess, killed after the test."""
    started = []

    def start(*command):
        started.append(RunningProcess(tmp_path, *command))
        return started[-1]

    yield start
    for one in started:
        if one.process.poll() is None:
            one.process.kill()
        one.process.wait()


class TestProcesses:
    @pytest.mark.parametrize(
        ('command', 'name'),
        [(('entry', '--adapter', 'platform'), 'entry'), (('archive',), 'archive')],
    )
    def test_takes_changed_settings_and_stops_when_asked(self, running, command, name):
        one = running(*command)
        one.until_logged(f'event={name}_started')
        one.write(tolerance=2)
        one.process.send_signal(signal.SIGHUP)
        one.until_logged('event=settings_in_force')
        one.write(tolerance=-1)
        one.process.send_signal(signal.SIGHUP)
        one.until_logged('event=settings_refused')
        assert one.process.poll() is None
        one.process.send_signal(signal.SIGTERM)
        assert one.process.wait(LIMIT_S) == ExitStatus.SUCCESS
        assert f'event={name}_stopped' in one.log()

    def test_an_entry_without_the_service_is_not_ready_and_refuses_at_once(self, running):
        one = running('entry', '--adapter', 'platform')
        one.until_logged('event=entry_started')
        assert one.status_of('readiness') == 503
        assert one.status_of('callers') == 503
        assert one.status_of('metrics', '/metrics') == 200
        one.until_logged('event=key_value_service_lost')

    def test_settings_are_checked(self, tmp_path):
        path = tmp_path / 'settings.toml'
        path.write_text(SETTINGS.replace('{tolerance}', '-1').replace("'centro-a'", '7', 1))
        result = toucanlead('check-config', str(path), '--adapter', 'platform')
        assert result.status is ExitStatus.BAD_CONFIG
        assert 'process.zone' in result.stderr
        assert "tolerance: 'vms'" in result.stderr


class TestLogWriter:
    def test_a_reader_that_has_stopped_never_blocks_the_writer(self):
        async def scenario():
            reader, target = os.pipe()
            writer = LogWriter(target)
            line = 'event=request_ended ' + 'x' * 200 + '\n'
            began_at = time.monotonic()
            for _ in range(50):
                for _ in range(100):
                    writer.write(line)
                await asyncio.sleep(0)
            assert time.monotonic() - began_at < 1.0
            assert writer.dropped > 0
            text = b''
            while b'log_lines_dropped' not in text:
                text += await asyncio.to_thread(os.read, reader, 1 << 16)
                await asyncio.sleep(0.06)
            whole = text.decode().splitlines()
            assert all(one in (line.strip(), whole[-1]) for one in whole)
            assert len(text) <= MAX_BUFFER_BYTES + (1 << 17)
            os.close(reader)
            os.close(target)

        asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))
