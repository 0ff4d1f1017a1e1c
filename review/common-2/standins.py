"""Stand-ins for the platform, its store, servers and clients, and the start of the edge.

They follow the users' pages: PROTOCOL.md for the store, servers and clients, DEPLOY.md for
the settings and for what the platform does to a process. Everything listens on loopback
addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
EDGE = ROOT / "target" / "platform" / "pistachio-edge"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ID = "Pistachiospan-Request-Id"
DEADLINE = "Pistachiospan-Deadline-Milliseconds"
STAMP = "Pistachiospan-Server-Stamp"


# Below the range from which the kernel takes the ports of connecting sockets.
FIRST_PORT, LAST_PORT = 20000, 32000
PORTS_OF_EDGE = 32


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def free_ports(ip):
    """Returns the first one of PORTS_OF_EDGE ports that are free."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT, PORTS_OF_EDGE)
        if all(is_free(ip, first + offset) for offset in range(PORTS_OF_EDGE)):
            return first


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --------------------------------------------------------------------------- the store


class Store:
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value bytes, version)
        self.log = []  # (version, table, part, key, deleted)
        self.version = 1
        self.changed = asyncio.Event()
        self.begin = time.monotonic()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value, part=""):
        self.version += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rows[(table, part, key)] = (value, self.version)
        self.note(table, part, key, False)

    def remove(self, table, key, part=""):
        if self.rows.pop((table, part, key), None):
            self.version += 1
            self.note(table, part, key, True)

    def note(self, table, part, key, deleted):
        self.log.append((self.version, table, part, key, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, place):
        value, version = self.rows[place]
        return {"tableName": place[0], "part": place[1], "key": place[2],
                "value": base64.b64encode(value).decode(), "versionNumber": version}

    def answer(self, status, content):
        content |= {"versionNumber": self.version,
                    "nowMs": int((time.monotonic() - self.begin) * 1000)}
        return response(status, {"Content-Type": "application/json"},
                        json.dumps(content).encode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                writer.write(await self.handle(method, target, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/api/rows-get":
            return self.get(query)
        if parts.path == "/api/rows-feed":
            return await self.feed(query)
        if parts.path == "/api/rows-tx":
            return self.transact(json.loads(body))
        return response(404, {})

    def get(self, query):
        places = sorted(place for place in self.rows
                        if place[:2] == (query["tableName"], query.get("part", ""))
                        and place[2] >= query.get("from", ""))
        limit = min(int(query.get("limit", 500)), 500)
        return self.answer(200, {"rows": [self.row(place) for place in places[:limit]],
                                 "hasMore": len(places) > limit})

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = [entry for entry in self.log
                       if entry[0] > after and entry[1] == query["tableName"]]
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for version, table, part, key, deleted in changes:
            if deleted:
                rows.append({"tableName": table, "part": part, "key": key,
                             "versionNumber": version, "deleted": True})
            elif (table, part, key) in self.rows:
                rows.append(self.row((table, part, key)))
        return self.answer(200, {"rows": rows})

    def transact(self, body):
        place = lambda entry: (entry["tableName"], entry.get("part", ""), entry["key"])
        expected = body.get("expected", [])
        if any(self.rows.get(place(entry), (b"", 0))[1] != entry["versionNumber"]
               for entry in expected):
            return self.answer(412, {"rows": [self.row(place(entry)) for entry in expected
                                              if place(entry) in self.rows]})
        for entry in body.get("puts", []):
            self.put(entry["tableName"], entry["key"], base64.b64decode(entry["value"]),
                     entry.get("part", ""))
        for entry in body.get("remove", []):
            self.remove(entry["tableName"], entry["key"], entry.get("part", ""))
        return self.answer(200, {})


# ------------------------------------------------------------------------- the servers


class Server:
    """A sound server of one service: works on a request and answers it once."""

    def __init__(self, store, record, service, name, slots=4, work_s=0.1, zone="sem-a",
                 answer_bytes=400):
        self.store, self.record, self.service = store, record, service
        self.id, self.slots, self.work_s, self.zone = name, slots, work_s, zone
        self.answer_bytes = answer_bytes
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = {}  # request id -> number of runs
        self.answered = set()  # request ids whose answer was written in full
        self.writers = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.beat()

    def beat(self, state="ready"):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born})

    def body_for(self, request_id, target):
        seed = f"{self.id} {request_id} {target} ".encode()
        return (seed * (self.answer_bytes // len(seed) + 1))[:self.answer_bytes]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self.handle(head[0], head[1], body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if target == "/health":
            writer.write(response(200, {"Pistachiospan-Instance-Id": self.id}))
            return
        request_id = headers.get(ID.lower())
        common = {ID: request_id, "Keep-Alive": "timeout=10",
                  "Pistachiospan-Server-Load": f"{self.running},0,{self.slots}"}
        if headers.get("pistachiospan-expected-instance", self.id) != self.id:
            writer.write(response(421, common | {"Pistachiospan-Instance-Id": self.id,
                                                 "Pistachiospan-Not-Executed": "1"}))
            return
        if self.running >= self.slots:
            writer.write(response(503, common | {"Pistachiospan-Not-Executed": "1"}))
            return
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record(f"{self.id} runs {method} {request_id} body {len(body)} bytes, "
                    f"deadline {headers.get(DEADLINE.lower())} ms")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if writer.is_closing():
            return
        answer = self.body_for(request_id, target)
        writer.write(response(200, common | {STAMP: f"{self.id}.{request_id}"}, answer))
        self.answered.add(request_id)
        self.record(f"{self.id} answers {request_id}")


# ------------------------------------------------------------------------- the platform


BOUNDS = ("seedLagS=3,reuseAfterS=2,contactMs=3000,acknowledgeMs=4000,catchUpS=4,"
          "drainMs=2000,gracePeriodS=6,lossSlackMs=200,configurationApplyMs=2000,"
          "rollbackSlackMs=250,outerBoundMs=5000,revokeClosed=false,revokeMs=5000,"
          "retryBudgetRatio=0.2,budgetWindowS=10,retryBudgetSlack=58,quotaWindowS=5,"
          "quotaOverrun=0.1,quotaSlack=20,coldOverrun=1.5,coldSlack=5,evacuationMs=5000,"
          "recoveryS=15,ttl_max_s=5,maxShift=0.15")
CONTRACTS = "base,drain,config,cost,retry,recover,places,tenants,quota,platform"
# Of sjedalo-mreza-grown.
PRESSURE_CONTRACTS = ("base,drain,config,cost,retry,recover,health,pool,places,tenants,"
                      "quota,pressure,platform")


class Edge:
    """One machine of the class frontend: its process, as the platform runs it."""

    def __init__(self, store, record, ip, name="frontend-sem-a-1", zone="sem-a",
                 memory_mb=260, contracts=CONTRACTS, zones=None):
        self.record, self.ip, self.name = record, ip, name
        self.memory_mb = memory_mb
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        first_port = free_ports(ip)
        self.ports = {each: first_port + offset for offset, each in enumerate(
            ("frontend", "readiness", "controlPlane", "directory"))}
        internal = first_port + PORTS_OF_EDGE // 2
        lines = {
            "node": name, "role": "edge", "machineClass": "frontend",
            "serves": "frontend,directory", "ipAddress": ip, "zone": zone,
            "region": "semenanjung", "firstStart": "true", "countsAsLoss": "false",
            "internalPortRange": f"{internal},{internal + 15}", "limits.cpuShare": "0.2",
            "limits.cpuCores": "1", "limits.memoryMb": str(memory_mb),
            "limits.fileDescriptors": "4100", "limits.linkBandwidthMbps": "1000.0",
            "limits.diskMb": "0", "discovery": "platform", "entry": "directory",
            "heartbeatIntervalMs": "1500", "contracts": contracts,
            "tolerate.machines": "1", "bounds": BOUNDS,
            "platform.address": store.address, "platform.form": "table"}
        for each, region in (zones or {"sem-a": "semenanjung"}).items():
            lines[f"zones.{each}"] = region
        for each, port in self.ports.items():
            lines[f"listen.{each}"] = f"{ip}:{port}"
        self.settings = Path(self.folder.name) / "boot.conf"
        self.settings.write_text("".join(f"{key}={value}\n"
                                         for key, value in lines.items()))
        self.process = None
        self.killed_for_memory = False
        self.peak_mb = 0.0

    def start(self):
        self.log = open(Path(self.folder.name) / "log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""),
                       "PISTACHIOSPAN_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen([str(EDGE)], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        self.record(f"platform starts {self.name}")

    def resident_mb(self):
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _, _ = await asyncio.wait_for(
                    call(self.ip, self.ports["readiness"], "GET", "/api/readiness"), 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def enforce_memory(self):
        """The platform kills a process that exceeds its memory (DEPLOY.md)."""
        while self.process.poll() is None:
            resident = self.resident_mb()
            self.peak_mb = max(self.peak_mb, resident)
            if resident > self.memory_mb:
                self.killed_for_memory = True
                self.record(f"platform kills {self.name}: {resident:.0f} MB resident, "
                            f"{self.memory_mb} MB allowed")
                self.process.kill()
                return
            await asyncio.sleep(0.005)

    def signal(self, number):
        self.record(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.folder.cleanup()


# -------------------------------------------------------------------------- the clients


async def call(ip, port, method, target, headers=None, body=b""):
    """One request on a channel of its own. Returns (status, headers, body)."""
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
    try:
        return await exchange(reader, writer, method, target, headers, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, target, headers=None, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in (headers or {"Host": "x"}).items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise EOFError("the channel ended without an answer")
    return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])


def desired_state(version, hosts, services, tenants=None, limits=None):
    state = {"version": f"r{version}",
             "services": [{"name": each, "healthCheckPath": "/health",
                           "connectionLimit": 330, "protocol": "h1", "tls": False,
                           "coldStartS": 3.0, "coldPerS": 14.0} for each in services],
             "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                  "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
             "hosts": hosts}
    if tenants is not None:
        state["tenants"] = tenants
    return state


def route(name, prefix, kind, service, timeout_ms=0, attempts=2, target_ms=200):
    entry = {"name": name, "prefix": prefix, "kind": kind, "targetLatencyMs": target_ms,
             "priority": 1, "service": service, "maxAttempts": attempts, "public": False,
             "stickySessions": False, "homeRegions": []}
    if timeout_ms:
        entry["timeoutMs"] = timeout_ms
    return entry


# ---------------------------------------------------------------------------- the cases


class KeptChannel:
    """A client that sends one safe request after the other on one channel."""

    def __init__(self, edge, record, name, host, target, deadline_ms):
        self.edge, self.record, self.name = edge, record, name
        self.host, self.target, self.deadline_ms = host, target, deadline_ms
        self.sent = 0
        self.answers = {}  # status -> count
        self.unanswered = []  # ids of requests whose channel ended without an answer
        self.ended = False

    async def run(self):
        reader, writer = await asyncio.open_connection(
            self.edge.ip, self.edge.ports["frontend"], limit=1 << 20)
        try:
            while not self.ended:
                self.sent += 1
                request_id = f"{self.name}-{self.sent}"
                try:
                    status, headers, _ = await asyncio.wait_for(
                        exchange(reader, writer, "GET", self.target,
                                 {"Host": self.host, ID: request_id,
                                  DEADLINE: str(self.deadline_ms)}),
                        self.deadline_ms / 1000 + 2)
                except asyncio.TimeoutError:
                    self.record(f"client {self.name}: {request_id} has no answer in "
                                "time; its channel is open")
                    return
                except (EOFError, ConnectionError, asyncio.IncompleteReadError) as problem:
                    self.record(f"client {self.name}: {request_id} ends without an "
                                f"answer: {type(problem).__name__}")
                    self.unanswered.append(request_id)
                    return
                self.answers[status] = self.answers.get(status, 0) + 1
                if headers.get("connection", "").lower() == "close":
                    return
        finally:
            writer.close()


class SlowReader:
    """A client that sends safe requests ahead and reads the answers at a steady rate.

    Its channel has an ordinary link's segments and "small windows" (DEPLOY.md), where
    loopback has windows of megabytes.
    """

    WINDOW_BYTES = 65536
    SEGMENT_BYTES = 1460
    BUFFER_BYTES = 16384  # read ahead of the rate
    STEP_S = 0.1

    def __init__(self, edge, record, name, host, prefix, ahead, deadline_ms, bytes_per_s):
        self.edge, self.record, self.name = edge, record, name
        self.host, self.prefix, self.deadline_ms = host, prefix, deadline_ms
        self.bytes_per_s = bytes_per_s
        self.ids = [f"{name}-{n}" for n in range(ahead)]
        self.statuses = {}  # id -> status, of complete answers
        self.received = 0
        self.outcome = "still reading"

    def requests(self):
        return "".join(f"GET {self.prefix}{n} HTTP/1.1\r\nHost: {self.host}\r\n"
                       f"{ID}: {request_id}\r\n{DEADLINE}: {self.deadline_ms}\r\n\r\n"
                       for n, request_id in enumerate(self.ids)).encode()

    async def connect(self):
        channel = socket.socket()
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES)
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT_BYTES)
        channel.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            channel, (self.edge.ip, self.edge.ports["frontend"]))
        return await asyncio.open_connection(sock=channel, limit=self.BUFFER_BYTES)

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            raise EOFError
        missing = int(head[1]["content-length"])
        while missing > 0:
            got = await reader.read(min(missing, int(self.bytes_per_s * self.STEP_S)))
            if not got:
                raise EOFError
            missing -= len(got)
            self.received += len(got)
            await asyncio.sleep(len(got) / self.bytes_per_s)
        self.statuses[self.ids[len(self.statuses)]] = int(head[0].split(" ")[1])

    async def run(self):
        begin = self.record.now()
        try:
            reader, writer = await self.connect()
            writer.write(self.requests())
            while len(self.statuses) < len(self.ids):
                await self.read_answer(reader)
            writer.close()
            self.outcome = "all answers"
        except EOFError:
            self.outcome = "channel closed"
        except OSError as problem:
            self.outcome = type(problem).__name__
        refusals = sum(status != 200 for status in self.statuses.values())
        self.record(f"reader {self.name}: {self.outcome}, {len(self.statuses)} answers "
                    f"({refusals} refusals), {self.received} bytes of bodies after "
                    f"{self.record.now() - begin:.1f} s")


def play(folder, case):
    """Runs `case(record)`, which returns whether the rule was broken, and exits with the
    issue's codes. Whatever the case has started is ended by it."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    if not EDGE.exists():
        record("target/platform/pistachio-edge is missing: run the deploy file's build")
        raise SystemExit(2)
    try:
        broken = asyncio.run(case(record))
    except Exception as problem:  # the case itself has failed
        record(f"the case couldn't run: {problem!r}")
        raise SystemExit(2)
    record("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)


class CouldNotRun(Exception):
    pass
