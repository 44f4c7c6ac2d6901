"""Streams of two software versions while the store loses answers, then a router is killed."""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))
import lab
import streams as clients

PER_S = 50  # streams of all clients
LOST_SHARE, LOST_FOR_S = 0.38, 6.0
KILLED = 2  # of four machines
ROUNDS = 5


async def case(record, seed):
    fleet = lab.Fleet(record, seed)
    store = fleet.store
    streams, tasks = [], []
    stop = False
    shrunk = collections.Counter()  # machine -> bytes that late writes took from its rows

    def on_late(key, old, new):
        for each in fleet.routers:
            if each.name in key and len(old) > len(new):
                shrunk[each] += len(old) - len(new)
                record.line(f"late write of {key}: {len(new)} bytes replace {len(old)}")

    store.on_late = on_late

    try:
        await clients.add_engines(fleet, "v1", 5)
        clients.configure(fleet)
        await fleet.start_routers()
        await fleet.wait_ready()
        await asyncio.sleep(3)
        await clients.add_engines(fleet, "v2", 7)
        record.say("engines of v2 serve beside those of v1")
        await asyncio.sleep(3)

        async def send():
            while not stop:
                streams.append(clients.Stream(len(streams)))
                tasks.append(asyncio.create_task(clients.follow(fleet, streams[-1], record)))
                await asyncio.sleep(1 / PER_S)

        sender = asyncio.create_task(send())
        await asyncio.sleep(2)
        for _ in range(ROUNDS):
            shrunk.clear()
            if lab.trouble() in ("1", "lost"):
                store.late, store.lost_share = True, LOST_SHARE
                record.say("the store's answers to writes are lost; such writes are done late")
            await asyncio.sleep(LOST_FOR_S)
            store.lost_share = 0.0
            record.say(f"the store answers all writes again; {store.lost} were lost")
            await asyncio.sleep(2)
            if lab.trouble() in ("1", "kill"):
                killed = sorted(fleet.routers, key=lambda each: -shrunk[each])[:KILLED]
                for each in killed:
                    each.signal(signal.SIGKILL)
                    record.say(f"{each.name} is killed; late writes took {shrunk[each]} bytes from "
                               "its rows")
                await asyncio.sleep(0.5)
                for each in killed:
                    await each.start()
            await asyncio.sleep(6)
            if len(clients.mixed(streams)) > clients.TOLERATED:
                break
        stop = True
        await sender
        await asyncio.wait(tasks, timeout=clients.DEADLINE_S + 2)
    finally:
        await fleet.end()
    return clients.judge(record, streams)


if __name__ == "__main__":
    lab.run_case(FOLDER, case, int(sys.argv[1]) if len(sys.argv) > 1 else 1)
