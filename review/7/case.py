"""A worker that has left gets requests again after an outage of the store and the loss of all nodes.

Order of events: the store falls silent; a worker says that it leaves (DELETE) and its node acknowledges
it; all node processes are killed and start again; the store answers again; a heartbeat that the worker
had sent before it left arrives late. The worker serves on meanwhile, as the pages say, and then exits.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit-2"))
from kit import now, run_case
from leaving import kill_all, leave_and_disrupt

# How long the store is silent after the notice of leaving; it is so for a second before it.
SILENCE_S = 1.5
LATE_S, SERVES_ON_S = 4.5, 11.0


async def case(record, fleet, trouble):
    async def disrupt(_node):
        until = now() + SILENCE_S
        await asyncio.sleep(0.5)
        if trouble:
            await kill_all(record, fleet)
        await asyncio.sleep(until - now())
        if trouble:
            fleet.store.set_silent(False)
        return now()

    return await leave_and_disrupt(record, fleet, disrupt, LATE_S, SERVES_ON_S, stop_store=trouble)


run_case(HERE, case)
