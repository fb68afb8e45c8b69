"""A worker that has left gets requests again after its node was restarted and all nodes were lost.

Order of events: a worker says that it leaves (DELETE) and its node acknowledges it; that node is stopped
with SIGTERM and started again, as planned; all node processes are killed and start again; a heartbeat that
the worker had sent before it left arrives late. The store answers all the while. The worker serves on
meanwhile, as the pages say, and then exits.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit-2"))
from kit import run_case
from leaving import kill_all, leave_and_disrupt

LATE_S, SERVES_ON_S = 5.5, 12.0


async def case(record, fleet, trouble):
    async def disrupt(node):
        await asyncio.sleep(0.3)
        node.stop()
        await node.restart()
        record.say(f"{node.name} has stopped and starts again")
        await fleet.wait_ready()
        await asyncio.sleep(0.7)
        if trouble:
            await kill_all(record, fleet)
        return 0.0

    return await leave_and_disrupt(record, fleet, disrupt, LATE_S, SERVES_ON_S)


run_case(HERE, case)
