"""A machine is added while the store is unavailable in part, and is killed later."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))
import lab
import streams as clients

PER_S = 50  # streams of all clients
DOWN_FOR_S = 4.5
KILL_BEFORE_S = 0.3  # before the store is whole again


async def case(record, seed):
    fleet = lab.Fleet(record, seed, routers=5)
    added = fleet.routers.pop()
    store = fleet.store
    streams, tasks = [], []
    stop = False
    try:
        await clients.add_engines(fleet, "v1", 6)
        clients.configure(fleet)
        await fleet.start_routers()
        await fleet.wait_ready()
        await asyncio.sleep(3)
        await clients.add_engines(fleet, "v2", 6)
        record.say("engines of v2 serve beside those of v1")
        await asyncio.sleep(3)

        async def send():
            while not stop:
                streams.append(clients.Stream(len(streams)))
                tasks.append(asyncio.create_task(clients.follow(fleet, streams[-1], record)))
                await asyncio.sleep(1 / PER_S)

        sender = asyncio.create_task(send())
        await asyncio.sleep(2)
        tables = sorted({key[0] for key in store.rows} - {"op", "servers"})
        record.say(f"the system's tables are {', '.join(tables)}")
        if lab.trouble() in ("1", "down"):
            store.down_tables = {"camphorwind_streams"}
        began = time.monotonic()
        if store.down_tables:
            record.say("the store is unavailable in part")
        added.configure(await store.listen(added.name))
        await added.start()
        await fleet.wait_ready([added], 3)
        fleet.routers.append(added)
        record.say(f"{added.name} is added and ready")
        await asyncio.sleep(began + DOWN_FOR_S - KILL_BEFORE_S - time.monotonic())
        if lab.trouble() in ("1", "kill"):
            added.signal(signal.SIGKILL)
            record.say(f"{added.name} is killed")
        await asyncio.sleep(began + DOWN_FOR_S - time.monotonic())
        store.down_tables = set()
        record.say("the whole store is available again")
        if lab.trouble() in ("1", "kill"):
            await added.end()
            await added.start()
        await asyncio.sleep(6)
        stop = True
        await sender
        await asyncio.wait(tasks, timeout=clients.DEADLINE_S + 2)
    finally:
        fleet.routers = list({*fleet.routers, added})
        await fleet.end()
    return clients.judge(record, streams)


if __name__ == "__main__":
    lab.run_case(FOLDER, case, int(sys.argv[1]) if len(sys.argv) > 1 else 1)
