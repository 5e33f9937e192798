"""Subcommands of the command-line tool.

The docstrings of the methods of Commands are the help texts.
"""

import sys
import uuid
from collections.abc import Callable
from pathlib import Path

from medlarhoist.core.api_messages import (
    ApplyRequest,
    ApplyResponse,
    ConfigurationResponse,
    EventPage,
    MoveList,
    ReplaceRequest,
    ResourceList,
    StatusReport,
)
from medlarhoist.core.command import MovePhase, MoveState, Status
from medlarhoist.core.domain_drain import build_drain_change
from medlarhoist.core.event import Event
from medlarhoist.core.resource import Change, Fault, Key, Kind
from medlarhoist.ops.client import Client, Reply, decode_reply
from medlarhoist.ops.domain_check import find_domain_faults, leaves_no_domain
from medlarhoist.ops.dry_run import try_changes
from medlarhoist.ops.exit_code import (
    ExitCode,
    exit_code_of_move,
    exit_code_of_outcome,
)
from medlarhoist.ops.output import (
    print_body,
    print_event,
    print_json,
    report_check,
    report_error,
    report_faults,
)
from medlarhoist.ops.process_commands import list_process_commands
from medlarhoist.ops.text import (
    describe_apply_response,
    describe_entry,
    describe_event,
    describe_move,
    describe_status,
)
from medlarhoist.parser.manifest import parse_manifest
from medlarhoist.utils.clock import wall_ms

WATCH_WAIT_MS = 10_000


class Commands:
    """The subcommands, bound to a client and an output format."""

    __slots__ = ('_client', '_in_json')

    def __init__(self, client: Client | None, *, in_json: bool) -> None:
        """Use a client; None if no server was given."""
        self._client = client
        self._in_json = in_json

    def apply(self, *, file: Path, request_id: str = '') -> ExitCode:
        """Apply the changes of a file atomically.

        Args:
            file: YAML with one resource per document.
            request_id: id of an earlier request, to resend it.
        """
        changes, faults = _read_changes(file)
        if faults:
            return report_faults(faults, in_json=self._in_json)
        return self._send_changes(changes, request_id)

    def replace(
        self,
        *,
        file: Path,
        revision: int,
        base: int = 0,
        request_id: str = '',
    ) -> ExitCode:
        """Replace the whole configuration by a file.

        Resources that are not in the file are deleted. Services keep their
        current version if the file sets none, and their moves.

        Args:
            file: YAML with one resource per document, no moves.
            revision: your own revision number, higher than the one in force.
            base: revision that the file is based on, 0 for the first.
            request_id: id of an earlier request, to resend it.
        """
        changes, faults = _read_changes(file)
        if faults:
            return report_faults(faults, in_json=self._in_json)
        if self._client is None:
            return report_error(self._fetch_reply(''))
        request = ReplaceRequest(
            request_id=request_id or uuid.uuid4().hex,
            revision=revision,
            base=base,
            resources=tuple(
                change.resource
                for change in changes
                if change.resource is not None
            ),
            document=file.read_text(),
        )
        return self._report_reply(
            request.request_id,
            self._client.replace(request),
        )

    def configuration(self) -> ExitCode:
        """Print the configuration in force, unchanged as replace sent it."""
        reply = self._fetch_reply('/v1/configuration')
        found = decode_reply(reply, ConfigurationResponse)
        if found is None:
            return report_error(reply)
        if self._in_json:
            return print_json(found)
        sys.stdout.write(f'# revision {found.revision}\n{found.document}')
        return ExitCode.DONE

    def check(self, *, file: Path) -> ExitCode:
        """Check the resources of a file without applying them.

        If a server is given, they are checked against the configuration in
        force there, otherwise as a complete configuration.

        Args:
            file: YAML with one resource per document.
        """
        changes, faults = _read_changes(file)
        if faults:
            return report_faults(faults, in_json=self._in_json)
        if self._client is None:
            return report_check(
                file, try_changes((), (), changes), in_json=self._in_json
            )
        resources = self._client.get('/v1/resources')
        moves = self._client.get('/v1/moves')
        resource_list = decode_reply(resources, ResourceList)
        move_list = decode_reply(moves, MoveList)
        if resource_list is None or move_list is None:
            return report_error(resources if resource_list is None else moves)
        found = try_changes(resource_list.entries, move_list.moves, changes)
        return report_check(file, found, in_json=self._in_json)

    def delete(
        self,
        kind: str,
        name: str,
        *,
        base: int | None = None,
        request_id: str = '',
    ) -> ExitCode:
        """Delete a resource; deleting a running move rolls it back.

        Args:
            kind: service, route, limits, target-version or move.
            name: name of the resource.
            base: resource version that must be in force.
            request_id: id of an earlier request, to resend it.
        """
        change = Change(key=Key(kind, name), resource=None, base=base)
        return self._send_changes((change,), request_id)

    def get(self, kind: str = '', name: str = '') -> ExitCode:
        """Print the resources in force.

        Args:
            kind: service, route, limits, target-version, move, account or
                domain-drain; all by default.
            name: name of one resource.
        """
        path = '/'.join(part for part in (kind, name) if part)
        reply = self._fetch_reply(f'/v1/resources/{path}')
        found = decode_reply(reply, ResourceList)
        if found is None:
            return report_error(reply)
        if self._in_json:
            return print_json(found)
        sys.stdout.write(f'version {found.version}\n')
        for entry in found.entries:
            sys.stdout.write(f'{describe_entry(entry)}\n')
        return ExitCode.DONE

    def move(self, name: str = '', *, wait: bool = False) -> ExitCode:
        """Print the state of moves, its reason and the evidence.

        Args:
            name: name of one move; all by default.
            wait: print each step until the move has ended.
        """
        reply = self._fetch_reply(f'/v1/moves/{name}')
        found = decode_reply(reply, MoveList)
        if found is None:
            return report_error(reply)
        if self._in_json:
            print_json(found)
        else:
            for move in found.moves:
                sys.stdout.write(f'{describe_move(move)}\n')
            for event in found.steps:
                sys.stdout.write(f'{describe_event(event)}\n')
        if not name:
            return ExitCode.DONE
        state = found.moves[0]
        if wait and state.phase is MovePhase.RUNNING:
            newest = found.steps[-1].sequence if found.steps else None
            return self.watch(since=newest, until=name)
        return exit_code_of_move(state.phase)

    def drain(
        self,
        domain: str = '',
        *,
        end: bool = False,
        request_id: str = '',
    ) -> ExitCode:
        """Keep calls away from the targets of a failure domain, or end this.

        Without a domain, the drained domains are printed. A drain ends only
        with --end. Starting or ending one again changes nothing.

        Args:
            domain: name of the failure domain.
            end: give the domain its calls again, step by step.
            request_id: id of an earlier request, to resend it.
        """
        if not domain:
            return self.get(Kind.DOMAIN_DRAIN)
        if end:
            path = f'/v1/resources/{Kind.DOMAIN_DRAIN}/{domain}'
            if self._fetch_reply(path).status == 404:
                sys.stdout.write(f'domain {domain} is not drained\n')
                return ExitCode.DONE
        else:
            status = self._fetch_reply('/v1/status')
            faults = find_domain_faults(status, domain)
            if faults:
                return report_faults(faults, in_json=self._in_json)
            drains = self._fetch_reply(f'/v1/resources/{Kind.DOMAIN_DRAIN}')
            if leaves_no_domain(status, drains, domain):
                sys.stderr.write('warning: no domain is left to serve calls\n')
        change = build_drain_change(domain, is_drained=not end)
        return self._send_changes((change,), request_id)

    def explain(self, request_id: str) -> ExitCode:
        """Print the outcome of a request and the reason.

        Args:
            request_id: id that apply, replace or delete printed.
        """
        reply = self._fetch_reply(f'/v1/requests/{request_id}')
        response = decode_reply(reply, ApplyResponse)
        if response is None:
            return report_error(reply)
        return self._report_response(response)

    def status(self) -> ExitCode:
        """Print the state of the sources and of each failure domain."""
        reply = self._fetch_reply('/v1/status')
        if reply.status != 200:
            return report_error(reply)
        found = decode_reply(reply, StatusReport)
        if self._in_json or found is None:
            return print_body(reply)
        sys.stdout.write(f'{describe_status(found)}\n')
        return ExitCode.DONE

    def watch(self, *, since: int | None = None, until: str = '') -> ExitCode:
        """Print changes, steps of moves and abandoned requests as they happen.

        Args:
            since: sequence of the last event received; by default only new
                events are printed.
            until: name of a move; stop when that move has ended.
        """
        query = 'wait_ms=0' if since is None else f'since={since}'
        while True:
            reply = self._fetch_reply(f'/v1/watch?{query}')
            found = decode_reply(reply, EventPage)
            if found is None:
                return report_error(reply)
            for event in found.events:
                print_event(event, in_json=self._in_json)
                ended = _find_ended_move(event, until)
                if ended is not None:
                    return exit_code_of_move(ended.phase)
            sys.stdout.flush()
            query = f'since={found.next}&wait_ms={WATCH_WAIT_MS}'

    def _fetch_reply(self, path: str) -> Reply:
        if self._client is None:
            message = b'no server given; use --server or MEDLARHOIST_SERVERS'
            return Reply(status=0, body=message)
        return self._client.get(path)

    def _send_changes(
        self,
        changes: tuple[Change, ...],
        request_id: str,
    ) -> ExitCode:
        if self._client is None:
            return report_error(self._fetch_reply(''))
        if request_id:
            earlier_reply = self._client.get(f'/v1/requests/{request_id}')
            earlier_response = decode_reply(earlier_reply, ApplyResponse)
            if earlier_response is not None:
                return self._report_response(earlier_response)
        request = ApplyRequest(
            request_id=request_id or uuid.uuid4().hex,
            changes=changes,
        )
        return self._report_reply(
            request.request_id,
            self._client.apply(request),
        )

    def _report_reply(self, request_id: str, reply: Reply) -> ExitCode:
        response = decode_reply(reply, ApplyResponse)
        if response is None:
            sys.stderr.write(f'request {request_id}\n')
            return report_error(reply)
        return self._report_response(response)

    def _report_response(self, response: ApplyResponse) -> ExitCode:
        code = exit_code_of_outcome(response.outcome.status)
        if self._in_json:
            print_json(response)
            return code
        is_done = response.outcome.status is Status.ACCEPTED
        stream = sys.stdout if is_done else sys.stderr
        stream.write(f'{describe_apply_response(response)}\n')
        return code


def list_commands(commands: Commands) -> list[Callable[..., ExitCode]]:
    """Return the subcommands in the order in which the help lists them."""
    return [
        commands.apply,
        commands.replace,
        commands.configuration,
        commands.check,
        commands.delete,
        commands.get,
        commands.move,
        commands.drain,
        commands.explain,
        commands.status,
        commands.watch,
        *list_process_commands(),
    ]


def _read_changes(file: Path) -> tuple[tuple[Change, ...], tuple[Fault, ...]]:
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return (), (Fault(source=str(file), message=str(exc)),)
    return parse_manifest(text, str(file), wall_ms())


def _find_ended_move(event: Event, name: str) -> MoveState | None:
    move = event.move
    if move is None or move.move != name:
        return None
    return None if move.phase is MovePhase.RUNNING else move
