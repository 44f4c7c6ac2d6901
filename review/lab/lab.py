"""Stand-ins and helpers that the scripts of this folder share: router processes, model
engines, clients, and the record of what was sent, answered and run.

The store is platform/soak/store.py. Everything listens on loopback addresses."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "platform" / "soak"))

import http11  # noqa: E402
import relay  # noqa: E402
import store as store_module  # noqa: E402

PROGRAM = "target/bin/camphor-host-router"
# The platform's names of headers, settings and fields, and their values here.
PLATFORM = json.loads(pathlib.Path(__file__).with_name("platform.json").read_text())
HEADERS = PLATFORM["headers"]
HOST = "shop.example"
STRIDE = 4  # most tokens in one event
HEARTBEAT_SECONDS = 1.2
ZONES = ("suva-a", "suva-b", "nausori", "lautoka")


class CannotRun(Exception):
    """The case could not be run; the script exits with 2."""


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def free_port(count=1):
    """Returns the first of `count` free ports in a row."""
    start = 21000 + int.from_bytes(os.urandom(2), "big") % 10000
    for first in [*range(start, 32000), *range(21000, start)]:
        held = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                held.append(probe)
                probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
        if not any(port in free_port.taken for port in range(first, first + count)):
            free_port.taken.update(range(first, first + count))
            return first
    raise CannotRun("no free port")


free_port.taken = set()


class Router:
    """The router of one machine. Each process that it starts gets the same addresses."""

    def __init__(self, name, zone, folder, record):
        self.name, self.zone = name, zone
        self.front, self.readiness, self.admin = free_port(), free_port(), free_port()
        self.peers = free_port(4)
        self.process = None
        self._settings = folder / f"{name}.conf"
        self._log = open(folder / f"{name}.log", "ab")
        self._record = record

    def configure(self, store_port):
        lines = {"node": self.name, "role": "router", "machine_class": "edge",
                 "planes": "edge", "ip": "127.0.0.1", "zone": self.zone,
                 "region": "viti-central",
                 **{f"zones.{zone}": "viti-central" for zone in ZONES},
                 "bind.front": f"127.0.0.1:{self.front}",
                 "bind.readiness": f"127.0.0.1:{self.readiness}",
                 "bind.admin": f"127.0.0.1:{self.admin}",
                 "port_range": f"{self.peers},{self.peers + 3}",
                 "bootstrap": "true", "in_tolerance": "false",
                 "discovery": "platform", "entry_mode": "vip", **PLATFORM["settings"],
                 PLATFORM["store_setting"]: f"127.0.0.1:{store_port}"}
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       PLATFORM["settings_variable"]: str(self._settings)}
        self.process = await asyncio.create_subprocess_exec(
            str(REPOSITORY / PROGRAM), cwd=REPOSITORY, env=environment, stdout=self._log,
            stderr=self._log)
        self._record.line(f"{self.name}: process {self.process.pid} started")

    def signal(self, number):
        self._record.line(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await http11.read_head(reader)
                http11.abort(writer)
                return head is not None and head.start[1] == "200"
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while not await self.ready():
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Engine:
    """A model engine. It streams the tokens that a request asks for, goes on after
    `Last-Event-Id`, stops when its caller is gone, and records every run."""

    def __init__(self, ident, lab, version="v1", zone=ZONES[0], interval=0.02,
                 first_seconds=0.08, slots=64):
        self.ident, self.version, self.zone = ident, version, zone
        self.interval, self.first_seconds, self.slots = interval, first_seconds, slots
        self.state, self.running, self.port = "ready", 0, None
        self._lab, self._born, self._sequence = lab, int(time.time() * 1000), 0
        self._server, self._beat, self._writers = None, None, set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._beats())

    async def _beats(self):
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def announce(self):
        self._sequence += 1
        self._lab.store.put("servers", self.ident, {
            "service": "models", "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "seq": self._sequence, "born": self._born})

    def drain(self):
        self._lab.record.line(f"{self.ident}: draining")
        self.state = "draining"
        self.announce()

    def crash(self):
        """Ends without a word: its entry stays until it has been silent for long."""
        self._lab.record.line(f"{self.ident} ({self.version}): crashes")
        self._end()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_SECONDS, self._lab.store.remove, "servers", self.ident)

    async def crash_and_come_back(self, seconds):
        """Crashes; another start with another id follows."""
        self.crash()
        self._lab.engines.remove(self)
        await asyncio.sleep(seconds)
        made = await self._lab.add_engine(version=self.version, zone=self.zone,
                                          interval=self.interval,
                                          first_seconds=self.first_seconds)
        self._lab.record.line(f"{self.ident}: is back as {made.ident}")

    def leave(self):
        self._lab.record.line(f"{self.ident}: leaves")
        self._lab.store.remove("servers", self.ident)
        self._end()

    def _end(self):
        self.state = "ended"
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            http11.abort(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while request := await http11.read_request(reader):
                if not await self._answer(request, reader, writer):
                    break
        except http11.CONNECTION_ENDED:
            pass
        finally:
            self._writers.discard(writer)
            http11.abort(writer)

    async def _answer(self, request, reader, writer):
        attempt = request.header("attempt-id")
        headers = {HEADERS["attempt"]: attempt,
                   HEADERS["load"]: f"{self.running},0,{self.slots}"}
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        expected = request.header("expect-instance")
        if expected and expected != self.ident:
            writer.write(http11.answer(421, {**headers, HEADERS["not_run"]: "1"}))
            return True
        after = int(request.header("last-event-id") or 0)
        prompt, most = (int(each) for each in request.header("token-usage").split(","))
        self._lab.record.line(f"{self.ident} ({self.version}): runs {attempt} after event {after}"
                              f" for {request.header('tenant')}")
        self._lab.runs.append((time.monotonic(), attempt, self.ident))
        self.running += 1
        try:
            await asyncio.sleep(self.first_seconds)
            if self._lab.is_deadly(request) and self.state != "ended":
                self.state = "ended"
                self._lab.crashes.append(time.monotonic())
                self._lab.spawn(self.crash_and_come_back(self._lab.crash_seconds))
                return False
            headers[HEADERS["signature"]] = f"{self.ident}.{attempt}"
            head = "HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode())
            for number in range(after + 1, most // STRIDE + 1):
                if reader.at_eof() or writer.is_closing():
                    return False
                data = f"id: {number}\ndata: {self.version} {self.ident} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.interval)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, attempt):
        self.attempt, self.status, self.complete = attempt, 0, False
        self.events = []  # (id, software version, engine)
        self.retry_after = 0.0
        self.text = b""

    def feed(self, data):
        self.text += data
        while b"\n\n" in self.text:
            event, _, self.text = self.text.partition(b"\n\n")
            lines = event.decode().split("\n")
            _, version, engine, _ = lines[1].split(" ")
            self.events.append((int(lines[0].partition(": ")[2]), version, engine))


class Lab:
    """Routers, engines, the store and the record of one case."""

    def __init__(self, folder, work):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.store = store_module.Store(1)
        self.routers, self.engines, self.runs = [], [], []
        self.prepaid, self.keys = {}, {}
        self.deadly_part = None  # id of the prompt part that crashes engines
        self.crash_seconds = 2.5  # time until a crashed engine is back
        self.crashes = []  # when
        self._tasks, self._engine_count = set(), 0
        self._work, self._version, self._count = pathlib.Path(work), 0, 0

    async def add_routers(self, count):
        for number in range(count):
            made = Router(f"edge-{ZONES[number]}-1", ZONES[number], self._work, self.record)
            made.configure(await self.store.listen(made.name))
            self.routers.append(made)

    async def start_routers(self):
        for each in self.routers:
            await each.start()
        for each in self.routers:
            await each.wait_ready()

    async def separate(self, router):
        """Puts a proxy between a router and the other routers, so that it can be cut off
        from them. Call before the routers start."""
        proxies = {}
        for other in self.routers:
            for port in (other.peers, other.peers + 1):  # store relay, loans
                proxies[port] = relay.Relay(lambda port=port: port)
                await proxies[port].start()

        def rewrite(reader, table, value):
            if reader != router.name or not table.startswith("camphorwind_budgets"):
                return value
            row = decode(value)
            for field in ("address", "loans"):
                port = int(row.get(field, "").rpartition(":")[2] or 0)
                if port in proxies and port // 100 != 0:
                    row[field] = f"127.0.0.1:{proxies[port].port}"
            return base64.b64encode(json.dumps(row).encode()).decode()

        self.store.rewrite = rewrite
        return list(proxies.values())

    def cut(self, router, proxies, is_cut):
        """Cuts a router off from the store and the other routers, or ends that."""
        self.record.line(f"{router.name}: {'cut off from' if is_cut else 'reaches'} the store"
                         " and the other routers")
        self.store.modes[router.name] = "silent" if is_cut else "up"
        for each in proxies:
            each.drop_requests = each.drop_answers = is_cut

    async def add_engine(self, **options):
        self._engine_count += 1
        made = Engine(f"i-{self._engine_count:04d}", self, **options)
        self.engines.append(made)
        await made.start()
        return made

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def is_deadly(self, request):
        parts = [each.partition(":")[0].strip()
                 for each in request.header("prompt-prefix").split(",")]
        return self.deadly_part is not None and self.deadly_part in parts[:-1]

    def add_tenant(self, name, prepaid):
        self.prepaid[name], self.keys[name] = prepaid, f"key-of-{name}"

    def write_configuration(self):
        self._version += 3
        self.store.put("op", "config", {
            "version": self._version,
            "routes": [{**PLATFORM["route"], "host": HOST}],
            "services": [{**PLATFORM["service"],
                          "engine": {**PLATFORM["service"]["engine"], "stride": STRIDE}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
            "tenants": [{"name": name, PLATFORM["keys"]: [self.keys[name]], "prepaid": prepaid}
                        for name, prepaid in self.prepaid.items()]})

    def next_attempt(self):
        self._count += 1
        return f"{os.getpid():08x}{self._count:08x}"

    async def ask(self, router, tenant, prompt, output, patience=15.0, resumes=None,
                  gap=None, breaks_at=None, parts=None):
        """Sends one attempt on a new connection. `resumes` is (attempt, last event).
        `gap` is the longest pause before the client gives the stream up. At `breaks_at`
        the client loses its connection."""
        answer = Answer(self.next_attempt())
        head = ["POST /chat/2f HTTP/1.1", f"Host: {HOST}", f"{HEADERS['attempt']}: {answer.attempt}",
                f"Authorization: Bearer {self.keys[tenant]}", "Model: m",
                f"{HEADERS['usage']}: {prompt},{output}",
                f"{HEADERS['time']}: {int(patience * 1000)}",
                f"{HEADERS['prompt']}: " + (parts or f"{self._count % 40 + 0xa0:x}:{prompt // 2}")
                + f",{answer.attempt[-6:]}:{prompt - prompt // 2}",
                "Content-Length: 4"]
        if resumes:
            head += [f"Resumes: {resumes[0]}", f"Last-Event-Id: {resumes[1]}"]
        self.record.line(f"client sends {answer.attempt} to {router.name}, {prompt}+{output} tokens"
                         + (f", goes on with {resumes[0]} after event {resumes[1]}"
                            if resumes else ""))
        writer, ending = None, "whole"
        try:
            until = time.monotonic() + patience
            async with asyncio.timeout(min(until, breaks_at or until) - time.monotonic()):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection("127.0.0.1", router.front)
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + b"word")
                async with asyncio.timeout(gap):
                    message = await http11.read_head(reader)
                if message is None:
                    raise ConnectionError
                answer.status = int(message.start[1])
                answer.retry_after = float(message.header("retry-after", "0") or 0)
                if "chunked" in message.header("transfer-encoding"):
                    while True:
                        async with asyncio.timeout(gap):
                            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                            data = await reader.readexactly(size + 2)
                        if size == 0:
                            break
                        answer.feed(data[:-2])
                else:
                    answer.text = await reader.readexactly(
                        int(message.header("content-length", "0")))
                answer.complete = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            ending = "connection ended"
        except TimeoutError:
            ending = "client gave up"
        finally:
            if writer:
                http11.abort(writer)
        self.record.line(f"client has {answer.attempt}: status {answer.status}, "
                         f"{len(answer.events)} events, {ending}"
                         + (f", retry after {answer.retry_after}" if answer.retry_after else "")
                         + (f", {answer.text[:160].decode('latin-1')}"
                            if answer.status not in (0, 200) else ""))
        return answer

    async def stop(self):
        for each in self.routers:
            if each.process and each.process.returncode is None:
                each.process.send_signal(signal.SIGCONT)
            await each.kill()


def main(script, case):
    """Runs `case(lab, trouble)`, which returns a text if the rule was broken."""
    folder = pathlib.Path(script).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(work):
        lab = Lab(folder, work)
        try:
            if not (REPOSITORY / PROGRAM).exists():
                raise CannotRun(f"{PROGRAM} is missing; run the build of deploy/system.toml")
            async with asyncio.timeout(110):
                broken = await case(lab, trouble)
            code = 1 if broken else 0
            text = f"broken: {broken}" if broken else "the rule held"
        except (CannotRun, TimeoutError, OSError) as error:
            code, text = 2, f"could not run: {error!r}"
        finally:
            await lab.stop()
        lab.record.line(text)
        print(text)
        return code

    with tempfile.TemporaryDirectory() as work:
        keep = os.environ.get("KEEP_LOGS")
        code = asyncio.run(run(keep or work))
    os._exit(code)


def decode(row):
    return json.loads(base64.b64decode(row))
