"""Stand-ins of the platform's store, of engines and of clients, and a fleet of the project's
own routers, for the cases 6 to 10. All addresses are loopback addresses, all clocks are real.

The stand-ins speak what the users' pages say and do nothing else on their own. Faults are
fields that a case sets. Nothing here knows the inside of the routers."""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ROUTER = REPOSITORY / "target/bin/camphor-host-router"
ZONES = ("suva-a", "suva-b", "nausori", "lautoka")
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
# The platform's names, and the settings and services of a small deployment.
PLATFORM = json.loads((pathlib.Path(__file__).parent / "platform.json").read_text())
NAMES, CALLS = PLATFORM["headers"], PLATFORM["calls"]
CONDITIONS = PLATFORM["conditions"]
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


def route(name, prefix, service, kind, attempts=1):
    return {**PLATFORM["route"], "name": name, "host": HOST, "prefix": prefix,
            "service": service, "kind": kind, "attempts": attempts}


def stream_route(name, prefix, service):
    return {**PLATFORM["stream_route"], "name": name, "host": HOST, "prefix": prefix,
            "service": service}


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
            "tls": False, **more}


def tenant(name, key, **more):
    return {"name": name, PLATFORM["keys"]: [key], "priority": 1, **more}


def trouble():
    """Returns the variant: "0" is without the disruption, "1" with all of it."""
    return os.environ.get("TROUBLE", "1")


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text, at=None):
        at = self.now() if at is None else at - self.began
        self._file.write(f"{at:9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


# HTTP/1.1

class Message:
    def __init__(self, start, headers):
        self.start, self.headers, self.body = start, headers, b""

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for each in lines[1:]:
        name, colon, value = each.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def chunks(reader):
    """Yields the chunks of a body; ends after the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head and "chunked" in head.header("transfer-encoding"):
        head.body = b"".join([each async for each in chunks(reader)])
    elif head and int(head.header("content-length", "0")):
        head.body = await reader.readexactly(int(head.header("content-length")))
    return head


def answer(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder))
        except OSError:
            pass
    if writer.transport:
        writer.transport.abort()


def quiet(loop, context):
    """Connections that end while they are read or written are part of every case."""
    if not isinstance(context.get("exception"), (OSError, asyncio.CancelledError)):
        loop.default_exception_handler(context)


class Store:
    """The platform's store. Each machine has a port of its own, so that a fault can affect
    the connections of single machines."""

    def __init__(self, record, seed):
        self.record = record
        self.rows = {}  # (table, part, key) -> (base64 value, revision)
        self.log = collections.deque(maxlen=50000)
        self.revision = 0
        self.era = 0
        self.lost_share = 0.0  # transactions without an answer
        self.late = False  # those are done 1 to 6 s later, if their condition still holds
        # Tables that are unavailable: calls about them get 503.
        self.down_tables = set()
        self.is_down = False  # no call is answered
        self.lost = 0
        # Called before a write that is done late, with its rows and what they replace.
        self.on_late = lambda key, old, new: None
        self._history_from = 0
        self._random = random.Random(seed)
        self._started = time.monotonic()
        self._changed = asyncio.Event()
        self._servers = []
        self._open = set()  # connections that answer
        self._silent = set()

    async def listen(self, machine):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(machine, reader, writer), "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def silence_connections(self):
        """All open connections go silent for good, without a reset; new ones work."""
        self._silent |= self._open
        return len(self._open)

    # What the operator and the engines write

    def put(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write([((table, "", key), base64.b64encode(text).decode())])
        return time.monotonic()

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self._write([((table, "", key), None)])
        return time.monotonic()

    def copy(self):
        return dict(self.rows), self.revision

    def restore(self, copy):
        """Comes back from a copy: what the system wrote since is gone. What the operator and
        the engines wrote is written again."""
        kept = {key: row[0] for key, row in self.rows.items() if key[0] in ("op", "servers")}
        gone = [key for key in copy[0] if key[0] in ("op", "servers") and key not in kept]
        self.rows, self.revision = dict(copy[0]), copy[1]
        self.log.clear()
        self._history_from = self.revision
        self.era += 1
        self._write([(key, None) for key in gone] + list(kept.items()))

    def _write(self, changes):
        self.revision += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.revision)
            self.log.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def now_ms(self):
        return int((time.monotonic() - self._started) * 1000)

    # Calls

    async def _serve(self, machine, reader, writer):
        self._open.add(writer)
        try:
            while request := await read_request(reader):
                if writer in self._silent or not await self._call(request, writer):
                    # Nothing more comes on this connection, and no reset either.
                    while await reader.read(65536):
                        pass
                    break
        except ENDED:
            pass
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _call(self, request, writer):
        if self.is_down:
            return False
        path, _, query = request.start[1].partition("?")
        fields = dict(each.partition("=")[::2] for each in query.split("&") if each)
        await asyncio.sleep(0.004)
        status, body = 404, {}
        if path == CALLS["transact"]:
            return await self._transact(json.loads(request.body), writer)
        if fields.get("table") in self.down_tables:
            status = 503
        elif path == CALLS["read"]:
            status, body = 200, self._get(fields)
        elif path == CALLS["feed"]:
            status, body = await self._feed(fields)
        elif path == "/rows-parts":
            status, body = 200, {"parts": sorted({key[1] for key in self.rows
                                                  if key[0] == fields["table"]}),
                                 "has_more": False}
        return self._reply(writer, status, body)

    def _reply(self, writer, status, body):
        if writer in self._silent or self.is_down:
            return False
        headers = {"Content-Type": "application/json"}
        if self.era:
            headers["Store-Era"] = str(self.era)
        writer.write(answer(status, headers, json.dumps(body).encode()))
        return True

    async def _transact(self, change, writer):
        entries = change.get(CONDITIONS, []) + change.get("puts", []) + change.get("remove", [])
        tables = {each["table"] for each in entries}
        if tables & {"op", "servers"}:
            return self._reply(writer, 403, {})
        if tables & self.down_tables:
            return self._reply(writer, 503, {})
        await asyncio.sleep(0.005)
        if self._random.random() < self.lost_share:
            self.lost += 1
            if self.late:
                asyncio.get_running_loop().call_later(
                    self._random.uniform(1, 6), self._commit, change, True)
            else:
                self._commit(change, True)
            return False
        return self._reply(writer, *self._commit(change, False))

    def _commit(self, change, late):
        def place(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        conditions = [(place(each), each["revision"]) for each in change.get(CONDITIONS, [])]
        if any(self.rows.get(key, (None, 0))[1] != expected for key, expected in conditions):
            rows = [self._row(key, *self.rows[key]) for key, _ in conditions
                    if key in self.rows]
            return 412, {"rows": rows, "revision": self.revision, "now_ms": self.now_ms()}
        for each in change.get("puts", []) if late else []:
            self.on_late(each["key"], self.rows.get(place(each), ("", 0))[0], each["value"])
        self._write([(place(each), each["value"]) for each in change.get("puts", [])]
                    + [(place(each), None) for each in change.get("remove", [])])
        return 200, {"revision": self.revision, "now_ms": self.now_ms()}

    @staticmethod
    def _row(key, value, revision):
        row = {"table": key[0], "part": key[1], "key": key[2], "revision": revision}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def _get(self, fields):
        limit = min(500, int(fields.get("limit", 500)))
        keys = sorted(key for key in self.rows
                      if key[:2] == (fields["table"], fields.get("part", ""))
                      and key[2] >= fields.get("from", "")
                      and ("to" not in fields or key[2] < fields["to"]))
        return {"rows": [self._row(key, *self.rows[key]) for key in keys[:limit]],
                "has_more": len(keys) > limit, "revision": self.revision,
                "now_ms": self.now_ms()}

    async def _feed(self, fields):
        after = int(fields["after"])
        until = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            if after < self._history_from or after > self.revision:
                return 410, {}
            found = []
            for each in reversed(self.log):
                if each[0] <= after:
                    break
                if each[1][0] == fields["table"]:
                    found.append(each)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"rows": [self._row(key, value, revision)
                                      for revision, key, value in reversed(found)],
                             "revision": self.revision, "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine:
    """One engine. Streams of `event_count` events, or a plain answer."""

    def __init__(self, record, store, service, zone, version="v1", stream=False, slots=64):
        self.record, self.store = record, store
        self.ident = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.version = service, zone, version
        self.stream, self.slots = stream, slots
        self.work_s = 0.06
        self.event_gap_s = 0.15
        self.event_tokens = 4
        self.running = 0
        self.state = "ready"  # as registered
        self.leaving = False  # said in all answers
        self.on_run = lambda engine, request: None
        self.on_arrival = lambda engine, request, status: None
        self.beats = True
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._beat_always())
        return self

    def entry(self):
        self._seq += 1
        return {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "stage": "colocated",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self._seq, "born": self._born}

    def register(self):
        return self.store.put("servers", self.ident, self.entry())

    async def _beat_always(self):
        while True:
            if self.beats:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def exit(self):
        """Ends the process: its connections are reset."""
        self._beat.cancel()
        self._server.close()
        for each in list(self._writers):
            reset(each)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self._answer(request, reader, writer):
                    break
        except ENDED:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        attempt = request.header("attempt-id")
        headers = {NAMES["attempt"]: attempt,
                   NAMES["load"]: f"{self.running},0,{self.slots}", "Keep-Alive": "timeout=15"}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if request.start[1] == "/healthz":
            writer.write(answer(503 if self.leaving else 200, {"Instance-Id": self.ident}))
            return True
        if request.header("expect-instance") not in ("", self.ident):
            self.on_arrival(self, request, 421)
            writer.write(answer(421, {**headers, "Instance-Id": self.ident}))
            return True
        if self.running >= self.slots:
            self.on_arrival(self, request, 503)
            writer.write(answer(503, {**headers, NAMES["not_executed"]: "1"}))
            return True
        self.on_arrival(self, request, 200)
        self.on_run(self, request)
        self.running += 1
        try:
            headers[NAMES["signature"]] = f"{self.ident}.{attempt}"
            await asyncio.sleep(self.work_s)
            if not self.stream:
                writer.write(answer(200, headers, f"{self.ident} {attempt}".encode() * 10))
                return True
            return await self._send_events(request, headers, reader, writer)
        finally:
            self.running -= 1

    async def _send_events(self, request, headers, reader, writer):
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        last = int(request.header("token-usage").split(",")[1]) // self.event_tokens
        for number in range(int(request.header("last-event-id", "0")) + 1, last + 1):
            if reader.at_eof():
                return False  # The caller has left: the request is dropped.
            data = f"id: {number}\ndata: {self.version} {self.ident} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Ports:
    """Free ports below those that the system gives out by itself."""

    def __init__(self):
        self._held = []

    def take(self, count=1):
        while True:
            first = random.randrange(20000, 30000)
            held = []
            try:
                for port in range(first, first + count):
                    held.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                    held[-1].bind(("127.0.0.1", port))
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                for each in held:
                    each.close()
                continue
            self._held += held
            return first


class Router:
    """A machine of the class `edge`, and the process of the project on it."""

    def __init__(self, name, zone, folder, ports):
        self.name, self.zone = name, zone
        self.front, self.readiness = ports.take(), ports.take()
        self.peers = ports.take(16)
        self.process = None
        self._settings = folder / f"{name}.conf"
        self._log = open(folder / f"{name}.log", "ab")

    def configure(self, store_port):
        fields = {
            **PLATFORM["settings"], "node": self.name, "zone": self.zone,
            **{f"zones.{each}": "viti-central" for each in ZONES},
            "bind.front": f"127.0.0.1:{self.front}",
            "bind.readiness": f"127.0.0.1:{self.readiness}",
            "port_range": f"{self.peers},{self.peers + 15}",
            PLATFORM["store_address"]: f"127.0.0.1:{store_port}"}
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(ROUTER), stdout=self._log, stderr=self._log, cwd=REPOSITORY,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C",
                 PLATFORM["settings_variable"]: str(self._settings)})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.start[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """The store, the routers and the operator."""

    def __init__(self, record, seed, routers=4):
        random.seed(seed)
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="camphorwind-review-"))
        self.store = Store(record, seed)
        ports = self._ports = Ports()
        self.routers = [Router(f"edge-{ZONES[n % 4]}-{n // 4 + 1}", ZONES[n % 4], self.folder,
                               ports) for n in range(routers)]
        self.engines = []
        self.version = 0

    def operate(self, routes, services, tenants):
        """The operator writes a configuration; returns when it was acknowledged."""
        self.version += random.randint(1, 5)
        return self.store.put("op", "config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants})

    async def add_engine(self, *args, **kwargs):
        made = await Engine(self.record, self.store, *args, **kwargs).start()
        self.engines.append(made)
        return made

    async def start_routers(self):
        for each in self.routers:
            each.configure(await self.store.listen(each.name))
            await each.start()

    async def wait_ready(self, routers=None, limit_s=15):
        until = time.monotonic() + limit_s
        for each in routers or self.routers:
            while not await each.is_ready():
                if time.monotonic() > until:
                    raise Unable(f"{each.name} does not become ready")
                await asyncio.sleep(0.05)

    async def end(self):
        for each in self.routers:
            await each.end()
        if "KEEP" not in os.environ:  # the routers' logs
            shutil.rmtree(self.folder, ignore_errors=True)


class Unable(Exception):
    """The case could not run."""


async def call(router, method, path, headers, body=b"", limit_s=20, on_event=None,
               on_open=None):
    """Sends one client attempt on a new connection. Returns the status, the headers, the body
    and whether the answer is whole; status 0 if the connection ended without an answer."""
    writer = None
    status, found, data = 0, {}, b""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", router.front), 1)
        if on_open:
            on_open(writer)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

        async def read():
            nonlocal status, found, data
            head = await read_head(reader)
            if head is None:
                return False
            status, found = int(head.start[1]), head.headers
            if "chunked" in head.header("transfer-encoding"):
                async for each in chunks(reader):
                    data += each
                    if on_event:
                        on_event(each)
                return True
            data = await reader.readexactly(int(head.header("content-length", "0")))
            return True

        whole = await asyncio.wait_for(read(), limit_s)
        return status, found, data, whole
    except (*ENDED, asyncio.TimeoutError):
        return status, found, data, False
    finally:
        if writer:
            writer.close()


def run_case(folder, case, seed=1):
    """Runs `case(record, seed)`, which returns the sentences that say how the rule was broken.
    Exits with 1 if there are any, 0 if there are none, 2 if the case could not run."""
    async def guarded(record):
        asyncio.get_running_loop().set_exception_handler(quiet)
        return await asyncio.wait_for(case(record, seed), 115)

    if not ROUTER.exists():
        print("the build of the deploy file is missing")
        sys.exit(2)
    record = Record(folder)
    record.say(f"trouble {trouble()}, seed {seed}")
    try:
        broken = asyncio.run(guarded(record))
    except (Unable, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        record.close()
        sys.exit(2)
    for each in broken:
        record.say(f"BROKEN: {each}")
    record.say("the rule was broken" if broken else "the rule held")
    record.close()
    sys.exit(1 if broken else 0)
