"""A worker that leaves with DELETE, serves on, and has a heartbeat on its way that arrives late.

Cases 6 and 7 differ in what happens between the acknowledgement and the heartbeat.
"""
import asyncio

from kit import Worker, config, now

# Bounds of cala-mesh.
CONTACT_S, DRAIN_S = 3.0, 2.0


async def start_fleet(record, fleet):
    """Starts three nodes with a worker each, and clients that send bookings to all of them."""
    workers = [Worker(record, f"i-bays{i}", "bays", run_s=0.12, capacity=4) for i in range(3)]
    for worker in workers:
        await worker.start()
    nodes = [fleet.add(f"node-{i}", "zone-a", worker) for i, worker in enumerate(workers)]
    route = ("move-booking", "floats.example", "/book/", "unsafe", "bays", {})
    await fleet.store.put("op/config", config(7, ["bays"], [route]))
    for node in nodes:
        await node.start()
    await fleet.wait_ready()
    beats = [worker.beat_repeatedly(node) for worker, node in zip(workers, nodes)]
    await asyncio.sleep(3)
    load = asyncio.create_task(send_bookings(nodes))
    await asyncio.sleep(2)
    return workers[0], nodes[0], beats[0], load


async def send_bookings(nodes):
    count = 0
    while True:
        for node in nodes:
            count += 1
            asyncio.create_task(node.request(f"a{count}", "floats.example", "/book/1", "POST", b"booking"))
        await asyncio.sleep(0.05)


async def kill_all(record, fleet):
    """Kills all nodes at the same moment; they start again at once."""
    for node in fleet.nodes:
        node.kill()
    record.say("all nodes are killed, and start again")
    await asyncio.gather(*(node.restart() for node in fleet.nodes))


async def leave_and_disrupt(record, fleet, disrupt, late_s, serves_on_s, stop_store=False):
    """Returns whether the leaving worker got no request later than the rule allows.

    `disrupt(node)` follows the acknowledgement and returns since when the store is undisturbed.
    """
    leaving, node, beat, load = await start_fleet(record, fleet)
    if stop_store:
        fleet.store.set_silent(True)
        await asyncio.sleep(1)
    late, beat_sent = leaving.beat(), now()
    beat.cancel()
    if await leaving.send_leave(node) != 200:
        raise RuntimeError("the notice of leaving wasn't acknowledged")
    acked = now()
    record.say(f"{leaving.identity} leaves; {node.name} has acknowledged it")
    stable_since = await disrupt(node)
    await fleet.wait_ready()
    await asyncio.sleep(max(0.0, beat_sent + late_s - now()))
    status = await leaving.send_beat(node, late)
    record.say(f"the heartbeat that was sent {now() - beat_sent:.1f} s ago arrives: {status}")
    await asyncio.sleep(max(0.0, acked + serves_on_s - now()))
    load.cancel()

    # All machines are in touch from here: no process was started and the store not disturbed for
    # `contact_ms`.
    in_touch = max(stable_since, *(each.started for each in fleet.nodes)) + CONTACT_S
    bound = max(in_touch, acked + DRAIN_S)
    late_runs = [run for run in leaving.runs if run[0] > bound]
    record.say(f"acknowledged at {acked:.2f}, all in touch from {in_touch:.2f}; "
               f"{len(late_runs)} requests reached {leaving.identity} after {bound:.2f}")
    return not late_runs
