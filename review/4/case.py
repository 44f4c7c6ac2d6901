"""Requests with a prompt part that crashes engines come to all machines at once."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab"))

import lab as lab_module  # noqa: E402

CONTACT_SECONDS = 3.0
DEADLY = "dead01"
BURSTS, BURST, PAUSE_SECONDS = 4, 4, 3.4
PROMPT, OUTPUT = 600, 40


async def sound_requests(lab, until, ends):
    """Other requests of the same caller, with the same other parts."""
    tasks, number = [], 0
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.create_task(
            lab.ask(lab.routers[number % 4], "shop", PROMPT, OUTPUT, patience=5,
                    parts=f"{number % 12 + 0xb0:x}:200")))
        await asyncio.sleep(0.05)
    ends += await asyncio.gather(*tasks)


async def case(lab, trouble):
    lab.add_tenant("shop", 50_000_000)
    lab.write_configuration()
    for number in range(12):
        await lab.add_engine(zone=lab_module.ZONES[number % 4], interval=0.01)
    await lab.add_routers(4)
    await lab.start_routers()
    await asyncio.sleep(2)
    start = time.monotonic()
    ends, deadly = [], []
    others = asyncio.create_task(
        sound_requests(lab, start + 3 + BURSTS * PAUSE_SECONDS, ends))
    await asyncio.sleep(3)
    if trouble:
        lab.deadly_part = DEADLY
    for burst in range(BURSTS):
        lab.record.line(f"{BURST} requests with the part {DEADLY} come at once")
        for number in range(BURST):
            other = (burst * BURST + number) % 12 + 0xb0
            deadly.append(asyncio.create_task(
                lab.ask(lab.routers[number % 4], "shop", PROMPT, OUTPUT, patience=5,
                        parts=f"{DEADLY}:100,{other:x}:200")))
        await asyncio.sleep(PAUSE_SECONDS)
    attempts = {each.attempt for each in await asyncio.gather(*deadly)}
    await others
    lab.record.line(f"{len(lab.crashes)} engines crashed, {sum(each.complete for each in ends)}"
                    f" of {len(ends)} sound requests were answered")
    if len(lab.crashes) < 5:
        return None
    since = lab.crashes[4] + CONTACT_SECONDS
    late = [each for each in lab.runs if each[0] > since and each[1] in attempts]
    lab.record.line(f"{len(late)} requests with the part reached engines later than"
                    f" {CONTACT_SECONDS} s after the fifth crash")
    if len(late) > 3:
        return (f"BUDGET: {len(late)} requests with a part that crashes engines reached engines"
                f" later than {CONTACT_SECONDS} s after the fifth crash")
    return None


lab_module.main(__file__, case)
