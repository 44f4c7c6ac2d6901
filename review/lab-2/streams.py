"""Clients of streams of two software versions, for the cases that judge ORDER."""

import asyncio
import random
import time

import lab

KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
SERVICE = "huvo11a"
DEADLINE_S = 15.0
EVENTS = 53
TOLERATED = 2
TRIES = 3


class Stream:
    """What one client wants, over all its tries."""

    def __init__(self, number, events=EVENTS):
        self.number, self.events = number, events
        self.first_attempt = ""  # brought the first event
        self.last = 0
        self.versions = []  # of the engines of its events, in order
        self.tries = []
        self.done = False
        self.sent_at = time.monotonic()
        self.router = None  # of the try that is open
        self.writer = None


async def follow(fleet, stream, record):
    until = time.monotonic() + DEADLINE_S
    router = fleet.routers[stream.number % len(fleet.routers)]
    parts = f"{stream.number % 7 + 1:x}:170,{random.getrandbits(32):08x}:500"
    for _ in range(TRIES):
        attempt = f"{random.getrandbits(64):016x}"
        left = until - time.monotonic()
        if left < 0.5:
            break
        headers = {lab.NAMES["attempt"]: attempt, "Model": "m",
                   lab.NAMES["tokens"]: f"670,{stream.events * 4}",
                   lab.NAMES["prompt"]: parts, lab.NAMES["time"]: int(left * 1000),
                   "Authorization": f"Bearer {KEY}"}
        if stream.last:
            headers["Last-Event-Id"] = stream.last
            headers["Resumes"] = stream.first_attempt
        taken = ""

        def on_event(data):
            nonlocal taken
            taken += data.decode()
            while "\n\n" in taken:
                event, _, taken = taken.partition("\n\n")
                fields = dict(each.partition(": ")[::2] for each in event.split("\n"))
                version = fields["data"].split(" ")[0]
                stream.first_attempt = stream.first_attempt or attempt
                stream.last = int(fields["id"])
                if not stream.versions or stream.versions[-1] != version:
                    stream.versions.append(version)

        after = stream.last
        stream.router = router
        status, found, _, whole = await lab.call(
            router, "POST", "/lohu930/2f", headers, b"x" * 200, left, on_event,
            lambda writer: setattr(stream, "writer", writer))
        stream.writer = None
        stream.tries.append((router.name, status))
        record.line(f"stream {stream.number} attempt {attempt} at {router.name} after event "
                    f"{after} resumes {headers.get('Resumes', '-')}: status {status}, whole "
                    f"{whole}, last event {stream.last}, versions {stream.versions}")
        if whole and status == 200:
            stream.done = True
            return
        wait = float(found.get("retry-after", 0) or 0) if status in (408, 421, 429, 503) else 0
        await asyncio.sleep(min(wait, max(0, until - time.monotonic()) / 3))
        # Retries reach other machines.
        router = random.choice([each for each in fleet.routers if each is not router])


def configure(fleet):
    """The operator's configuration: one route whose streams may be resumed."""
    fleet.operate([lab.stream_route("r-1", "/lohu930/", SERVICE)],
                  [lab.service(SERVICE, max_conns=360, engine=lab.PLATFORM["engine"])],
                  [lab.tenant(TENANT, KEY, prepaid=500_000_000)])


async def add_engines(fleet, version, count):
    for number in range(count):
        engine = await fleet.add_engine(SERVICE, lab.ZONES[number % 4], version, stream=True,
                                        slots=64)
        engine.event_gap_s = 0.19


def mixed(streams):
    return [each for each in streams if len(set(each.versions)) > 1]


def judge(record, streams):
    """Returns how the rule was broken, if it was."""
    found = mixed(streams)
    again = [each for each in streams if len(each.tries) > 1]
    record.say(f"{len(streams)} streams, {sum(each.done for each in streams)} complete, "
               f"{len(again)} with several tries, {len(found)} with events of two versions")
    if len(found) <= TOLERATED:
        return []
    return [f"{len(found)} streams hold events from engines of two software versions "
            f"(the rule tolerates {TOLERATED}), such as stream {found[0].number}: "
            f"{found[0].versions}, tries {found[0].tries}"]
