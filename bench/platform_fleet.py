"""Platform fleet: processes on loopback that run as on the users' platform.

Each machine has a loopback address of its own, since all machines use the same
ports. Instances are HTTP servers in this process, and tests send their
heartbeats.
"""

import signal
import threading
import uuid
from collections import Counter
from collections.abc import Iterable
from functools import partial
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, Final

import yaml
from msgspec import Struct, json

from bench.fleet import Fleet, wait_until

SERVICE: Final = 'bookings'
HOST: Final = 'shop.example'
PREFIX: Final = '/s/'
BORN_MS: Final = 1_700_000_000_000
READY_SECONDS: Final = 30.0
TIMEOUT_SECONDS: Final = 2.0
LISTENED_PORTS: Final = ('control', 'inbound', 'readiness', 'outbound', 'app')


class Machine(Struct, frozen=True, kw_only=True):
    """One machine.

    Args:
        name: its name, which is that of its process.
        zone: its failure domain.
        ip: its loopback address.
        is_core: whether it runs a source.
    """

    name: str
    zone: str
    ip: str
    is_core: bool


class Instance(ThreadingHTTPServer):
    """An instance that counts the requests that it runs.

    Attributes:
        run_id: its id, which a request has to expect.
        runs: number of requests.
    """

    daemon_threads = True

    def __init__(self, address: str, run_id: str) -> None:
        """Listen on an address, host:port."""
        host, _, port = address.rpartition(':')
        super().__init__((host, int(port)), _Handler)
        self.run_id = run_id
        self.runs = 0
        self.lock = threading.Lock()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:  # noqa: N802  name in the standard library
        """Run a request, or say that it is for another instance."""
        instance: Any = self.server
        is_expected = self.headers['X-Expected-Instance'] == instance.run_id
        if is_expected:
            with instance.lock:
                instance.runs += 1
        self.send_response(200 if is_expected else 421)
        self.send_header('X-Attempt-Id', self.headers['X-Attempt-Id'])
        self.send_header('Content-Length', '0')
        self.end_headers()

    def log_message(self, *args: Any) -> None:
        """Log nothing."""


class PlatformFleet:
    """The machines of one test.

    Attributes:
        machines: by name.
        instances: the instance beside each node, by name of the machine.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start without machines.

        Args:
            fleet: starts the processes, and stops them with the test.
        """
        self._fleet = fleet
        self._ports = dict(
            zip(
                ('first', 'gossip', 'admin', *LISTENED_PORTS),
                _allocate_row(fleet, 3 + len(LISTENED_PORTS)),
                strict=True,
            )
        )
        self.machines: dict[str, Machine] = {}
        self.instances: dict[str, Instance] = {}

    def add(self, name: str, zone: str, *, is_core: bool = False) -> None:
        """Plan a machine, without starting its process."""
        number = len(self.machines) + 2
        self.machines[name] = Machine(
            name=name, zone=zone, ip=f'127.0.0.{number}', is_core=is_core
        )

    def address(self, name: str, port: str) -> str:
        """Return host:port of a listener of a machine."""
        return f'{self.machines[name].ip}:{self._ports[port]}'

    def start(self, *, is_first: bool = True) -> None:
        """Start all processes, and an instance beside each node."""
        for name, machine in self.machines.items():
            self.start_process(name, is_first=is_first)
            if not machine.is_core:
                self._start_instance(name)

    def start_process(self, name: str, *, is_first: bool = False) -> None:
        """Start the process of a machine.

        Args:
            name: name of the machine.
            is_first: whether the whole system starts for the first time.
        """
        path = self._fleet.folder / f'{name}.yaml'
        settings = self._settings(self.machines[name], is_first=is_first)
        path.write_text(yaml.safe_dump(settings))
        self._fleet.start(
            name,
            ['-m', 'bench.platform_process', str(path)],
        )

    def restart(self, name: str, signum: signal.Signals) -> None:
        """End a process with a signal, and start it again at once."""
        process = self._fleet.processes.pop(name)
        process.send_signal(signum)
        process.wait()
        self.start_process(name)

    def close(self) -> None:
        """Stop the instances."""
        for instance in self.instances.values():
            instance.shutdown()
            instance.server_close()

    def configure(self) -> None:
        """Put the first configuration, and wait until all nodes are ready."""
        body = json.encode(_configuration())
        core = next(name for name in self.machines if self._is_core(name))
        path = '/medlarhoist/config/put'
        assert wait_until(
            lambda: self.post(core, path, body) == 200, READY_SECONDS
        )
        assert wait_until(
            lambda: all(map(self._is_ready, self.instances)), READY_SECONDS
        )

    def beat(self, name: str, sequence: int, **changes: Any) -> int:
        """Send a heartbeat to the node of a machine; return its status.

        Args:
            name: name of the machine.
            sequence: sequence of the heartbeat.
            changes: fields that differ from those of its instance; `id` is
                that in the path.
        """
        instance_id = changes.pop('id', self.instances[name].run_id)
        fields = {
            'service': SERVICE,
            'address': self.address(name, 'app'),
            'zone': self.machines[name].zone,
            'version': 'v1',
            'slots': 18,
            'state': 'ready',
            'cold_remaining_s': 0,
            'sequence': sequence,
            'born': BORN_MS,
            **changes,
        }
        path = f'/medlarhoist/instances/{instance_id}/heartbeat'
        return self.post(name, path, json.encode(fields))

    def post(self, name: str, path: str, body: bytes) -> int:
        """Post to the control address of a machine; return the status."""
        return _request(self.address(name, 'control'), 'POST', path, body)

    def call(self, names: Iterable[str], count: int) -> Counter[int]:
        """Send requests to nodes in turn; return the number by status."""
        entries = [self.address(name, 'outbound') for name in names]
        return Counter(
            _request(entries[number % len(entries)], 'GET', f'{PREFIX}x', b'')
            for number in range(count)
        )

    def is_running(self, name: str) -> bool:
        """Return whether the process of a machine runs."""
        return self._fleet.processes[name].poll() is None

    def _start_instance(self, name: str) -> None:
        instance = Instance(self.address(name, 'app'), f'i-{name}')
        self.instances[name] = instance
        threading.Thread(target=instance.serve_forever, daemon=True).start()

    def _is_core(self, name: str) -> bool:
        return self.machines[name].is_core

    def _is_ready(self, name: str) -> bool:
        address = self.address(name, 'readiness')
        return _request(address, 'GET', '/medlarhoist/ready', b'') == 200

    def _settings(self, machine: Machine, *, is_first: bool) -> dict[str, Any]:
        listen = ('control',) if machine.is_core else LISTENED_PORTS[:-1]
        data_dir = str(self._fleet.folder / f'{machine.name}-data')
        app = partial(self.address, machine.name, 'app')
        return {
            'self': {
                'node': machine.name,
                'serves': ['control_plane' if machine.is_core else 'sidecar'],
                'ip': machine.ip,
                'zone': machine.zone,
                'bootstrap': is_first,
                'data_dir': data_dir if machine.is_core else None,
                'app_addr': '' if machine.is_core else app(),
                'service': '' if machine.is_core else SERVICE,
            },
            'network': {
                'listen': {
                    port: self.address(machine.name, port) for port in listen
                },
                'port_range': [self._ports['first'], self._ports['admin']],
                'seeds': [
                    self.address(name, 'control')
                    for name in self.machines
                    if self._is_core(name)
                ],
            },
            'platform': {'heartbeat_s': 1.0},
            'terms': {'bounds': {'grace_s': 6}},
        }


def _allocate_row(fleet: Fleet, count: int) -> list[int]:
    """Return ports of a range without a gap."""
    row = [fleet.ports.allocate()]
    while len(row) < count:
        port = fleet.ports.allocate()
        row = [*row, port] if port == row[-1] + 1 else [port]
    return row


def _configuration() -> dict[str, Any]:
    route = {
        'name': 'r-1',
        'path_prefix': PREFIX,
        'route_type': 'idempotent',
        'timeout_s': 1.5,
        'target_latency_s': 0.5,
        'priority': 1,
        'service': SERVICE,
        'max_attempts': 2,
    }
    return {
        'version': 1,
        'base_version': 0,
        'services': [
            {'name': SERVICE, 'health_path': '/health', 'max_connections': 90}
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_000_000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'virtual_hosts': [{'host': HOST, 'paths': [route]}],
    }


def _request(address: str, method: str, path: str, body: bytes) -> int:
    """Send one request; return the status, zero without a response."""
    conn = HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    headers = {
        'Host': HOST,
        'Content-Type': 'application/json',
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Deadline-Ms': '1500',
    }
    try:
        conn.request(method, path, body or None, headers)
        return conn.getresponse().status
    except (OSError, HTTPException):
        return 0
    finally:
        conn.close()
