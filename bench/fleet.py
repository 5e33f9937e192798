"""Fleet: starts and stops the processes of one experiment on loopback.

Signals go only to processes that the fleet started, by process id.
"""

import hashlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import yaml
from msgspec import Struct

from bench.ports import PortPool

SHARED_KEY: Final = 'a shared key for loopback only'
OPERATOR_TOKEN: Final = 'operator-token'
STOP_SECONDS: Final = 15
POLL_SECONDS: Final = 0.05


class NodeAddresses(Struct, frozen=True, kw_only=True):
    """Name, failure domain and listening addresses (host:port) of a node."""

    name: str
    domain: str
    admin: str
    control: str
    gossip: str
    entry: str
    peer: str


class SourceAddresses(Struct, frozen=True, kw_only=True):
    """Name, failure domain and listening addresses (host:port) of a source."""

    name: str
    domain: str
    admin: str
    control: str
    api: str


class Fleet:
    """The processes of one experiment and the folder with their files.

    Attributes:
        folder: holds settings, data folders and logs of the processes.
        ports: pool that the addresses come from.
        processes: started processes by name; `kill` and `stop` remove theirs.
        sources: addresses of the sources by name, started or not.
        nodes: addresses of the nodes by name, started or not.
    """

    __slots__ = ('_logs', 'folder', 'nodes', 'ports', 'processes', 'sources')

    def __init__(self, folder: Path) -> None:
        """Create an empty fleet; the caller removes the folder at the end."""
        self.folder = folder
        self.ports = PortPool()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.sources: dict[str, SourceAddresses] = {}
        self.nodes: dict[str, NodeAddresses] = {}
        self._logs: list[Any] = []

    def plan_sources(self, domains: tuple[str, ...]) -> None:
        """Allocate addresses for sources s1, s2, ..., one in each domain."""
        for index, domain in enumerate(domains, start=1):
            name = f's{index}'
            self.sources[name] = SourceAddresses(
                name=name,
                domain=domain,
                admin=self.ports.allocate_address(),
                control=self.ports.allocate_address(),
                api=self.ports.allocate_address(),
            )

    def plan_node(self, name: str, domain: str) -> None:
        """Allocate addresses for a node, without starting it."""
        self.nodes[name] = NodeAddresses(
            name=name,
            domain=domain,
            admin=self.ports.allocate_address(),
            control=self.ports.allocate_address(),
            gossip=self.ports.allocate_address(),
            entry=self.ports.allocate_address(),
            peer=self.ports.allocate_address(),
        )

    def start_source(self, name: str) -> None:
        """Start a source that `plan_sources` added.

        A source that is started again reuses its data folder.
        """
        source = self.sources[name]
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        self._start_daemon(
            name,
            {
                'role': 'source',
                'name': name,
                'domain': source.domain,
                'admin': source.admin,
                'shared_key': SHARED_KEY,
                'sources': self._source_list(),
                'data_folder': str(self.folder / f'{name}-data'),
                'operators': [{'name': 'op', 'token_sha256': digest}],
            },
        )

    def start_node(self, name: str, **more: Any) -> None:
        """Start a node that `plan_node` added; its seeds are of its domain.

        Args:
            name: name of the node.
            more: further settings.
        """
        node = self.nodes[name]
        self._start_daemon(
            name,
            {
                'role': 'node',
                'name': name,
                'domain': node.domain,
                'admin': node.admin,
                'shared_key': SHARED_KEY,
                'sources': self._source_list(),
                'control': node.control,
                'gossip': node.gossip,
                'entry': node.entry,
                'peer': node.peer,
                'seeds': self._seeds(node.domain),
                **more,
            },
        )

    def start_target(
        self,
        node: str,
        service: str,
        label: str,
        *options: str,
    ) -> str:
        """Start a stand-in target beside a node.

        Args:
            node: name of the node that the target registers with.
            service: name of the service.
            label: version of the service.
            options: more options of the stand-in target.

        Returns:
            The name of the process, NODE-SERVICE-LABEL.
        """
        name = f'{node}-{service}-{label}'
        self.start(
            name,
            [
                '-m',
                'medlarhoist.standin.target',
                '--admin',
                self.nodes[node].admin,
                '--service',
                service,
                '--label',
                label,
                *options,
            ],
        )
        return name

    def start(self, name: str, arguments: list[str]) -> None:
        """Start Python with arguments; its output is appended to NAME.log."""
        log = (self.folder / f'{name}.log').open('ab')
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )

    def run_operator_tool(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operator tool against the sources and return its result.

        Raises:
            subprocess.TimeoutExpired: it ran for 60 s.
        """
        servers = ','.join(source.api for source in self.sources.values())
        return subprocess.run(
            [sys.executable, '-m', 'medlarhoist.ops.command_line', *arguments],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            env={
                **os.environ,
                'MEDLARHOIST_SERVERS': servers,
                'MEDLARHOIST_TOKEN': OPERATOR_TOKEN,
            },
        )

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a running process."""
        self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill a process and remove it from `processes`."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Terminate a process, wait and return its exit code.

        Raises:
            subprocess.TimeoutExpired: it still runs after STOP_SECONDS.
        """
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=STOP_SECONDS)

    def close(self) -> None:
        """Stop every process and release the ports and log files.

        A process is resumed first, as one frozen by SIGSTOP does not terminate,
        and killed if it still runs after STOP_SECONDS.
        """
        for running in self.processes.values():
            running.send_signal(signal.SIGCONT)
            running.terminate()
        for terminated in self.processes.values():
            _reap(terminated)
        self.processes.clear()
        self.ports.close()
        for log in self._logs:
            log.close()

    def log_text(self, name: str) -> str:
        """Return the output of a process, over all its starts."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def _source_list(self) -> list[dict[str, str]]:
        return [
            {
                'name': source.name,
                'control': source.control,
                'api': source.api,
            }
            for source in self.sources.values()
        ]

    def _seeds(self, domain: str) -> list[str]:
        members = [
            node for node in self.nodes.values() if node.domain == domain
        ]
        return [node.gossip for node in members[:3]]

    def _start_daemon(self, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.start(name, ['-m', 'medlarhoist.daemon', '--settings', str(path)])


def _reap(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(timeout=STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def create_fleet() -> Fleet:
    """Return an empty fleet with a new temporary folder."""
    return Fleet(Path(tempfile.mkdtemp(prefix='medlarhoist-')))


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Poll a condition; return whether it held before the timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return condition()
