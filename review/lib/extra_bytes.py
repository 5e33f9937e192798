"""A faulty instance that sends additional bytes after its complete answers.

The bytes have the form of the answer to a status check. They carry no
X-Attempt-Id, which every answer of the instance to a request does.
"""

import asyncio
import random

from mesh import (
    ZONES,
    CannotRun,
    Instance,
    make_configuration,
    make_route,
)

HOST = 'a.example'
# The doses of the site's disturbance `garble`: half of the instances, of
# their answers 3 in 100, for 5 s.
EXTRA_SHARE = 0.03
TROUBLE_S = 5.0
CALM_S = 4.0
PER_S = 30
LATE_S = (0.005, 0.05)


class FaultyInstance(Instance):
    """An instance that may send bytes after an answer."""

    def __init__(self, machine, extra):
        super().__init__(machine)
        self._extra = extra
        self.is_faulty = False

    async def _answer(self, writer, status, attempt, refused=False):
        await super()._answer(writer, status, attempt, refused)
        is_chosen = random.random() < EXTRA_SHARE
        if self.is_faulty and status == 200 and is_chosen:
            asyncio.get_running_loop().call_later(
                random.uniform(*LATE_S), self._send_extra, writer, attempt
            )

    def _send_extra(self, writer, attempt):
        if writer.is_closing():
            return
        self.record.write(f'extra {self.id} after the answer to {attempt}')
        line, _, _ = self._extra.partition('\r\n')
        lines = [line, f'X-Instance-Id: {self.id}', 'Content-Length: 0']
        writer.write('\r\n'.join([*lines, '', '']).encode())


async def play(mesh, has_trouble, extra, kind, method):
    """Load a mesh while half of the instances of a service are faulty.

    Args:
        mesh: the mesh, which is not started.
        has_trouble: whether instances become faulty.
        extra: status line of the additional bytes.
        kind: type of the route that is loaded.
        method: method of its requests.

    Returns:
        The answers of the clients by attempt, and the instances.
    """
    for zone in ZONES:
        mesh.add_node(zone, 'sched')
    for zone in (*ZONES, ZONES[0]):
        mesh.add_node(zone, 'book')
    await mesh.start()
    instances = [FaultyInstance(node, extra) for node in mesh.nodes]
    for instance in instances:
        await instance.start()
    routes = [make_route('r-1', '/b/', 'book', kind)]
    answer = await mesh.order(
        'POST',
        '/medlarhoist/config/put',
        make_configuration(3, 0, ['sched', 'book'], {HOST: routes}),
    )
    if answer is None or answer.status != 200:
        raise CannotRun('the configuration was not confirmed')
    await mesh.wait_ready()
    answers = {}
    loads = [
        asyncio.create_task(_load(mesh, node, method, answers))
        for node in mesh.nodes
    ]
    await asyncio.sleep(CALM_S)
    # Two of the four instances of the service.
    for instance in instances[3:5]:
        instance.is_faulty = has_trouble
    await asyncio.sleep(TROUBLE_S)
    for instance in instances:
        instance.is_faulty = False
    await asyncio.sleep(CALM_S)
    for load in loads:
        load.cancel()
    return answers, instances


async def _load(mesh, node, method, answers):
    tasks = set()
    while True:
        task = asyncio.create_task(_send(mesh, node, method, answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(PER_S))


async def _send(mesh, node, method, answers):
    attempt, answer = await mesh.send(node, HOST, '/b/x', method)
    if answer is not None:
        answers[attempt] = answer
