"""Commands: what each subcommand of the command-line tool does."""

import sys
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from msgspec import json

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
from medlarhoist.core.event import Event
from medlarhoist.core.resource import Change, Fault, Key
from medlarhoist.ops.client import Client, Reply, decode_reply, fetch
from medlarhoist.ops.dry_run import try_changes
from medlarhoist.ops.exit_code import (
    ExitCode,
    exit_code_of_move,
    exit_code_of_outcome,
    exit_code_of_reply,
)
from medlarhoist.ops.text import (
    describe_answer,
    describe_entry,
    describe_event,
    describe_fault,
    describe_move,
    describe_status,
)
from medlarhoist.parser.manifest import parse_manifest
from medlarhoist.utils.clock import wall_ms

WATCH_WAIT_MS = 10_000


class Commands:
    """The subcommands, bound to a client and a form of output."""

    __slots__ = ('_client', '_in_json')

    def __init__(self, client: Client | None, *, in_json: bool) -> None:
        """Keep the client; None where no server was named."""
        self._client = client
        self._in_json = in_json

    def apply(self, *, file: Path, request_id: str = '') -> ExitCode:
        """Make the changes of a file, all or none.

        Args:
            file: YAML with one resource per document.
            request_id: given to resend an earlier request.
        """
        changes, faults = _read_changes(file)
        if faults:
            return _report_faults(faults, in_json=self._in_json)
        return self._send_changes(changes, request_id)

    def replace(
        self,
        *,
        file: Path,
        revision: int,
        base: int = 0,
        request_id: str = '',
    ) -> ExitCode:
        """Put a file in force as the whole configuration.

        What the file does not name is deleted; the current versions of
        services and their moves stay where the file names none.

        Args:
            file: YAML with one resource per document, no moves.
            revision: your own number of it, above the one in force.
            base: number of the one that it builds on, 0 for the first.
            request_id: given to resend an earlier request.
        """
        changes, faults = _read_changes(file)
        if faults:
            return _report_faults(faults, in_json=self._in_json)
        if self._client is None:
            return _report_problem(self._ask(''))
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
        """Print the whole configuration in force, as it was put."""
        reply = self._ask('/v1/configuration')
        found = decode_reply(reply, ConfigurationResponse)
        if found is None:
            return _report_problem(reply)
        if self._in_json:
            return _print_json(found)
        sys.stdout.write(f'# revision {found.revision}\n{found.document}')
        return ExitCode.DONE

    def check(self, *, file: Path) -> ExitCode:
        """Check the resources of a file without applying them.

        With a server named, they are checked against what is in force there;
        with none, the file is taken for the whole configuration.

        Args:
            file: YAML with one resource per document.
        """
        changes, faults = _read_changes(file)
        if faults:
            return _report_faults(faults, in_json=self._in_json)
        if self._client is None:
            return _report_check(
                file, try_changes((), (), changes), in_json=self._in_json
            )
        resources = self._client.get('/v1/resources')
        moves = self._client.get('/v1/moves')
        known = decode_reply(resources, ResourceList)
        known_moves = decode_reply(moves, MoveList)
        if known is None or known_moves is None:
            return _report_problem(resources if known is None else moves)
        found = try_changes(known.entries, known_moves.moves, changes)
        return _report_check(file, found, in_json=self._in_json)

    def delete(
        self,
        kind: str,
        name: str,
        *,
        base: int | None = None,
        request_id: str = '',
    ) -> ExitCode:
        """Delete a resource; a running move is rolled back by it.

        Args:
            kind: service, route, limits, target-version or move.
            name: name of the resource.
            base: resource version that must be in force.
            request_id: given to resend an earlier request.
        """
        change = Change(key=Key(kind, name), resource=None, base=base)
        return self._send_changes((change,), request_id)

    def get(self, kind: str = '', name: str = '') -> ExitCode:
        """Print the resources in force.

        Args:
            kind: service, route, limits, target-version or move; all by default.
            name: name of one resource.
        """
        path = '/'.join(part for part in (kind, name) if part)
        reply = self._ask(f'/v1/resources/{path}')
        found = decode_reply(reply, ResourceList)
        if found is None:
            return _report_problem(reply)
        if self._in_json:
            return _print_json(found)
        sys.stdout.write(f'version {found.version}\n')
        for entry in found.entries:
            sys.stdout.write(f'{describe_entry(entry)}\n')
        return ExitCode.DONE

    def move(self, name: str = '', *, wait: bool = False) -> ExitCode:
        """Print where moves stand, why, and on what evidence.

        Args:
            name: name of one move; all by default.
            wait: print each step until the move has ended.
        """
        reply = self._ask(f'/v1/moves/{name}')
        found = decode_reply(reply, MoveList)
        if found is None:
            return _report_problem(reply)
        if self._in_json:
            _print_json(found)
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

    def explain(self, request_id: str) -> ExitCode:
        """Print what became of a request, and why.

        Args:
            request_id: as apply or delete printed it.
        """
        reply = self._ask(f'/v1/requests/{request_id}')
        answer = decode_reply(reply, ApplyResponse)
        if answer is None:
            return _report_problem(reply)
        return self._report_answer(answer)

    def status(self) -> ExitCode:
        """Print the state of the sources and of each failure domain."""
        reply = self._ask('/v1/status')
        if reply.status != 200:
            return _report_problem(reply)
        found = decode_reply(reply, StatusReport)
        if self._in_json or found is None:
            return _print_body(reply)
        sys.stdout.write(f'{describe_status(found)}\n')
        return ExitCode.DONE

    def dump(self, address: str) -> ExitCode:
        """Print the whole state of one process.

        Args:
            address: host:port of the admin listener of the process.
        """
        reply = fetch(address, '/dump')
        if reply.status != 200:
            return _report_problem(reply)
        return _print_body(reply)

    def watch(self, *, since: int | None = None, until: str = '') -> ExitCode:
        """Print changes and verdicts as they happen.

        Args:
            since: sequence of the last event seen; from now on by default.
            until: name of a move; ends when the move has ended.
        """
        query = 'wait_ms=0' if since is None else f'since={since}'
        while True:
            reply = self._ask(f'/v1/watch?{query}')
            found = decode_reply(reply, EventPage)
            if found is None:
                return _report_problem(reply)
            for event in found.events:
                _print_event(event, in_json=self._in_json)
                ended = _find_end(event, until)
                if ended is not None:
                    return exit_code_of_move(ended.phase)
            sys.stdout.flush()
            query = f'since={found.next}&wait_ms={WATCH_WAIT_MS}'

    def _ask(self, path: str) -> Reply:
        if self._client is None:
            message = b'no server is named; use --server or MEDLARHOIST_SERVERS'
            return Reply(status=0, body=message)
        return self._client.get(path)

    def _send_changes(
        self,
        changes: tuple[Change, ...],
        request_id: str,
    ) -> ExitCode:
        if self._client is None:
            return _report_problem(self._ask(''))
        if request_id:
            earlier = self._client.get(f'/v1/requests/{request_id}')
            known = decode_reply(earlier, ApplyResponse)
            if known is not None:
                return self._report_answer(known)
        request = ApplyRequest(
            request_id=request_id or uuid.uuid4().hex,
            changes=changes,
        )
        return self._report_reply(
            request.request_id,
            self._client.apply(request),
        )

    def _report_reply(self, request_id: str, reply: Reply) -> ExitCode:
        answer = decode_reply(reply, ApplyResponse)
        if answer is None:
            sys.stderr.write(f'request {request_id}\n')
            return _report_problem(reply)
        return self._report_answer(answer)

    def _report_answer(self, answer: ApplyResponse) -> ExitCode:
        code = exit_code_of_outcome(answer.outcome.status)
        if self._in_json:
            _print_json(answer)
            return code
        is_done = answer.outcome.status is Status.ACCEPTED
        stream = sys.stdout if is_done else sys.stderr
        stream.write(f'{describe_answer(answer)}\n')
        return code


def list_commands(commands: Commands) -> list[Callable[..., ExitCode]]:
    """Return the subcommands in the order of the help page."""
    return [
        commands.apply,
        commands.replace,
        commands.configuration,
        commands.check,
        commands.delete,
        commands.get,
        commands.move,
        commands.explain,
        commands.status,
        commands.watch,
        commands.dump,
    ]


def _read_changes(file: Path) -> tuple[tuple[Change, ...], tuple[Fault, ...]]:
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return (), (Fault(source=str(file), message=str(exc)),)
    return parse_manifest(text, str(file), wall_ms())


def _report_faults(faults: tuple[Fault, ...], *, in_json: bool) -> ExitCode:
    if in_json:
        _print_json({'faults': faults})
    else:
        for fault in faults:
            sys.stderr.write(f'{describe_fault(fault)}\n')
    return ExitCode.REFUSED if faults else ExitCode.DONE


def _report_check(
    file: Path,
    faults: tuple[Fault, ...],
    *,
    in_json: bool,
) -> ExitCode:
    if not faults and not in_json:
        sys.stdout.write(f'{file}: can be applied\n')
    return _report_faults(faults, in_json=in_json)


def _print_event(event: Event, *, in_json: bool) -> None:
    if in_json:
        _print_json(event)
    else:
        sys.stdout.write(f'{describe_event(event)}\n')
        sys.stdout.flush()


def _report_problem(reply: Reply) -> ExitCode:
    problem = reply.problem
    verdict = reply.verdict.value
    sys.stderr.write(f'{problem.message} ({verdict})\n')
    return exit_code_of_reply(reply)


def _print_json(record: Any) -> ExitCode:
    sys.stdout.write(f'{json.encode(record).decode()}\n')
    sys.stdout.flush()
    return ExitCode.DONE


def _print_body(reply: Reply) -> ExitCode:
    text = json.format(reply.body, indent=2).decode()
    sys.stdout.write(f'{text}\n')
    return ExitCode.DONE


def _find_end(event: Event, name: str) -> MoveState | None:
    move = event.move
    if move is None or move.move != name:
        return None
    return None if move.phase is MovePhase.RUNNING else move
