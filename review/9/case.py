"""A slow version is not found bad where the calls of its service spread over many routes.

The operator's configuration grows by many routes, all of one service, and clients use all of them. Then a
new version is ordered that answers half of its requests eight times slower.
"""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit-2"))
from kit import Worker, config, now, run_case

EXPOSURE_SHARE, EXPOSURE_TOLERANCE, ROLLBACK_S = 0.1, 50, 5.0
DURATION_S = 16.0
ROUTES, MORE_ROUTES = 150, 350
RUN_S, SLOW_X, SLOW_SHARE = 0.05, 8, 0.5


class SlowVersion(Worker):
    """A worker of the new version, of whose answers half take eight times as long."""

    draw = random.Random(1)

    async def run(self, *request):
        if self.draw.random() < SLOW_SHARE:
            self.bad.append(now())
            await asyncio.sleep((SLOW_X - 1) * RUN_S)
        return await super().run(*request)


async def case(record, fleet, trouble):
    old = [Worker(record, f"i-old-{i}", "bays", "v1", RUN_S, 12) for i in range(2)]
    new = [SlowVersion(record, f"i-new-{i}", "bays", "v2", RUN_S, 12) for i in range(2)]
    nodes = {}
    for worker in old + new:
        await worker.start()
        nodes[worker] = fleet.add(f"node-{worker.identity}", "zone-a", worker)
    await fleet.store.put("op/config", routes(7, ROUTES if trouble else 8))
    for node in fleet.nodes:
        await node.start()
    await fleet.wait_ready()
    for worker in old:
        worker.beat_repeatedly(nodes[worker])
    await asyncio.sleep(2)
    used = ROUTES + MORE_ROUTES if trouble else 8
    if trouble:
        await fleet.store.put("op/config", routes(9, used))
    await asyncio.sleep(2)
    load = asyncio.create_task(send_lookups([nodes[worker] for worker in old], used))
    await asyncio.sleep(2)

    ordered = now()
    order = {"service": "bays", "target_version": "v2", "duration_s": DURATION_S}
    await fleet.store.put("op/rollout/bays", order)
    for worker in new:
        worker.born = int(time.time() * 1000)
        worker.beat_repeatedly(nodes[worker])
    await asyncio.sleep(DURATION_S + 4)
    load.cancel()

    deadline = ordered + DURATION_S
    in_time = [at for worker in old + new for at, _ in worker.runs if ordered <= at <= deadline]
    at_new = sorted(at for worker in new for at, _ in worker.runs)
    at_new_in_time = [at for at in at_new if at <= deadline]
    bad = sorted(at for worker in new for at in worker.bad)
    allowed = EXPOSURE_SHARE * len(in_time) + EXPOSURE_TOLERANCE
    late = [at for at in at_new if len(bad) >= 50 and at > bad[49] + ROLLBACK_S]
    record.say(f"{used} routes, status {fleet.store.status('bays')}")
    record.say(f"of {len(in_time)} requests {len(at_new_in_time)} ran at the bad version, allowed {allowed:.0f}; "
               f"{len(bad)} bad answers, {len(late)} requests more than {ROLLBACK_S} s after the 50th")
    return len(at_new_in_time) <= allowed and not late


def routes(version, count):
    table = [(f"r{i}", "floats.example", f"/bay{i}/", "safe", "bays", {}) for i in range(count)]
    return config(version, ["bays"], table)


async def send_lookups(nodes, used):
    count = 0
    while True:
        for node in nodes:
            count += 1
            asyncio.create_task(node.request(f"a{count}", "floats.example", f"/bay{count % used}/1"))
        await asyncio.sleep(0.025)


run_case(HERE, case)
