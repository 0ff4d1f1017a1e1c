"""Stand-ins for the platform's store, servers and clients, and the daemon as a process.

Everything runs on loopback addresses and the real clock. A stand-in does what the users'
pages say of its original; `Record` collects what was sent, answered and run.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/platform/pistachio-edge"

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class Record:
    """Lines of record.txt: seconds since the start of the case, and what happened."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Message:
    """A request or an answer as it was read: first line, header fields and body."""

    def __init__(self, line, fields, body=b""):
        self.line, self.fields, self.body = line, fields, body

    def get(self, name, default=None):
        for each, value in self.fields:
            if each.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The first line and the fields, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in each.partition(":")[::2]) for each in rest]
    return Message(line, fields)


async def read_request(reader):
    request = await read_head(reader)
    if request is None:
        return None
    if "chunked" in (request.get("Transfer-Encoding") or ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            request.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return request
    length = int(request.get("Content-Length") or 0)
    request.body = await reader.readexactly(length) if length else b""
    return request


def answer_bytes(status, fields=(), body=b"", reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows, transactions, and a feed of changes."""

    def __init__(self, record, call_s=0.004):
        self.record, self.call_s = record, call_s
        self.rows = {}  # (table, part, key) -> (value or None if dropped, version)
        self.version = 1
        self.changed = asyncio.Event()
        self.mode = "up"  # up, silent, busy

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, table, key, value, part=""):
        """What the operator or a server writes. Returns the version of the row."""
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, part, key] = (text, self.version)
        self.wake()
        return self.version

    def drop(self, table, key, part=""):
        self.version += 1
        self.rows[table, part, key] = (None, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, place):
        value, version = self.rows[place]
        table, part, key = place
        row = {"tableName": table, "part": part, "key": key, "versionNumber": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": base64.b64encode(value).decode()}

    def body(self, rows, **more):
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "versionNumber": self.version, "nowMs": now_ms} | more

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(self.call_s)
                if self.mode == "silent":
                    await asyncio.sleep(3600)  # this channel delivers nothing further
                status, body = await self.answer(request)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                          json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        if self.mode == "busy":
            return 503, {}
        path, _, text = request.line.split(" ")[1].partition("?")
        query = dict(each.partition("=")[::2] for each in text.split("&") if each)
        if path == "/api/rows-get":
            return 200, self.get(query)
        if path == "/api/rows-feed":
            return 200, await self.feed(query)
        if path == "/api/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def get(self, query):
        places = sorted(place for place, (value, _) in self.rows.items()
                        if place[0] == query["tableName"] and place[1] == query.get("part", "")
                        and value is not None and place[2] >= query.get("from", ""))
        return self.body([self.row(place) for place in places], hasMore=False)

    async def feed(self, query):
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            rows = sorted((self.row(place) for place, (_, version) in self.rows.items()
                           if place[0] == query["tableName"] and version > int(query["after"])),
                          key=lambda row: row["versionNumber"])
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.body(rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        def place(row):
            return row["tableName"], row["part"], row["key"]

        def present(row):
            value, version = self.rows.get(place(row), (None, 0))
            return 0 if value is None else version
        expected = body.get("expected") or []
        if any(present(row) != row["versionNumber"] for row in expected):
            return 412, self.body([self.row(place(row)) if place(row) in self.rows else
                                   row | {"versionNumber": 0, "deleted": True}
                                   for row in expected])
        self.version += 1
        for row in body.get("puts") or []:
            self.rows[place(row)] = (base64.b64decode(row["value"]), self.version)
        for row in body.get("remove") or []:
            self.rows[place(row)] = (None, self.version)
        self.wake()
        return 200, self.body([])


class Server:
    """A server of a service. `handle` may be replaced to answer in another way."""

    def __init__(self, record, store, service, zone, host, port, work_s=0.1, slots=4):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.host, self.port, self.work_s, self.slots = host, port, work_s, slots
        self.address = f"{host}:{port}"
        self.runs = []  # (seconds, id of the request)
        self.arrivals = []  # the same, for all but those that got 421
        self.leaving = False
        self.running = 0
        self.server = None
        self.writers = set()
        self.cold_until = 0  # on the steady clock

    async def start(self, identity):
        self.identity, self.sequence = identity, 0
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, self.host, self.port,
                                                 limit=1 << 20)

    def entry(self, state="ready", cold_ms=0, sequence=None):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state,
                "coldRemainingMs": cold_ms, "sequence": sequence, "born": self.born}

    def register(self, **fields):
        return self.store.put("servers", self.identity, self.entry(**fields))

    def cold_ms(self):
        left = self.cold_until - time.monotonic()
        return int(max(left, 0) * 1000)

    async def crash(self):
        """Closes the port and all channels at once."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def own_fields(self, request):
        fields = [("Pistachiospan-Request-Id", request.get("Pistachiospan-Request-Id", "")),
                  ("Pistachiospan-Server-Load", f"{self.running},0,{self.slots}")]
        return fields + ([("Server-Leaving", "1")] if self.leaving else [])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.take(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def take(self, request, reader, writer):
        expected = request.get("Pistachiospan-Expected-Instance")
        identity = request.get("Pistachiospan-Request-Id")
        if request.line.split(" ")[1] == "/health":
            fields = [("Pistachiospan-Instance-Id", self.identity)]
            if self.cold_ms():
                fields.append(("Pistachiospan-Cold-Milliseconds", str(self.cold_ms())))
            writer.write(answer_bytes(503 if self.leaving else 200, fields))
            return
        if expected and expected != self.identity:
            writer.write(answer_bytes(421, self.own_fields(request)))
            return
        self.arrivals.append((self.record.now(), identity))
        await self.handle(request, reader, writer)

    async def handle(self, request, reader, writer):
        identity = request.get("Pistachiospan-Request-Id")
        self.runs.append((self.record.now(), identity))
        self.record.note(f"server {self.identity} runs {identity}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = f"answer to {identity}".encode()
        writer.write(answer_bytes(
            200, self.own_fields(request) + [("Pistachiospan-Server-Stamp", f"mac.{identity}")],
            body))
        await writer.drain()


class Vm:
    """One daemon as a process of its own, with a settings file as the platform writes it."""

    def __init__(self, record, folder, name, ip, zone, zones, store, ports, seeds, bounds=""):
        self.record, self.name, self.ip, self.ports = record, name, ip, ports
        self.path = Path(folder) / f"{name}.conf"
        self.log = open(Path(folder) / f"{name}.log", "w")
        lines = [f"node={name}", "role=edge", "machineClass=frontend",
                 "serves=frontend,directory", f"ipAddress={ip}", f"zone={zone}",
                 f"region={zones[zone]}"]
        lines += [f"zones.{each}={region}" for each, region in zones.items()]
        lines += [f"listen.frontend={ip}:{ports[0]}", f"listen.readiness={ip}:{ports[1]}",
                  f"listen.directory={ip}:{ports[2]}",
                  f"internalPortRange={ports[3]},{ports[3] + 15}", f"seeds={seeds}",
                  "firstStart=true", "countsAsLoss=false", "limits.cpuShare=0.2",
                  "limits.cpuCores=1", "limits.memoryMb=260", "limits.fileDescriptors=4100",
                  "limits.linkBandwidthMbps=1000.0", "limits.diskMb=0", "discovery=platform",
                  "entry=directory", "heartbeatIntervalMs=1500",
                  "contracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform",
                  "tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=1",
                  "bounds=seedLagS=3,reuseAfterS=2,contactMs=3000,acknowledgeMs=4000,"
                  "catchUpS=4,drainMs=2000,gracePeriodS=6,lossSlackMs=200,"
                  "configurationApplyMs=2000,rollbackSlackMs=250,outerBoundMs=5000,"
                  "revokeClosed=false,revokeMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,"
                  "retryBudgetSlack=58,quotaWindowS=5,quotaOverrun=0.1,quotaSlack=20,"
                  "coldOverrun=1.5,coldSlack=5,evacuationMs=5000,recoveryS=15,ttl_max_s=5,"
                  "maxShift=0.15",
                  f"platform.address={store.address}", "platform.form=table",
                  "platform.writesPerS=400", "platform.readsPerS=2000",
                  "platform.transactionMs=6.0", "platform.partWritesPerS=200",
                  "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20"]
        self.path.write_text("\n".join(lines) + "\n")
        self.process = None

    async def start(self):
        environment = {key: value for key, value in os.environ.items()
                       if key in ("PATH", "HOME", "LANG")}
        self.process = await asyncio.create_subprocess_exec(
            str(DAEMON), "--settings", str(self.path), cwd=ROOT, env=environment,
            stdout=self.log, stderr=self.log)
        self.record.note(f"VM {self.name} started")

    def signal(self, number):
        self.record.note(f"VM {self.name} gets signal {number}")
        self.process.send_signal(number)

    async def ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                answer = await exchange(self.ip, self.ports[1], b"GET /api/readiness HTTP/1.1\r\n"
                                        b"Host: x\r\nConnection: close\r\n\r\n", 1)
                if answer and answer.line.split(" ")[1] == "200":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def read_answer(reader):
    answer = await read_head(reader)
    if answer is not None:
        answer.body = await reader.readexactly(int(answer.get("Content-Length") or 0))
    return answer


async def exchange(ip, port, request, timeout_s):
    """Sends one request on a channel of its own. None if there was no whole answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def request_bytes(method, host, target, identity, deadline_ms, key=None, body=b"", fields=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}",
             f"Pistachiospan-Request-Id: {identity}",
             f"Pistachiospan-Deadline-Milliseconds: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def free_ports(ip, count):
    """The first of `count` ports in a row that are free at this address."""
    for first in range(20000 + os.getpid() % 10000, 60000, count):
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise OSError("no free ports")


def configuration(version, routes, services, tenants=()):
    """A desired state. Routes: (host, list of paths)."""
    return {"version": f"r{version}", "services": services, "tenants": list(tenants),
            "hosts": [{"host": host, "paths": paths} for host, paths in routes],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}}


def run_case(main, folder):
    """Runs the coroutine main(record, trouble) and exits with its code."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    record.note(f"the case runs {'with' if trouble else 'without'} the disruption")
    if not DAEMON.exists():
        record.note("the daemon isn't built")
        sys.exit(NOT_RUN)
    try:
        code = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as problem:  # the case itself failed
        record.note(f"the case could not run: {type(problem).__name__}: {problem}")
        code = NOT_RUN
    record.note({HELD: "the rule held", BROKEN: "the rule was broken",
                 NOT_RUN: "no result"}[code])
    sys.exit(code)


class Deployment:
    """A small deployment on one loopback address: the store, servers and VMs."""

    def __init__(self, record, folder, ip, zones):
        self.record, self.folder, self.ip, self.zones = record, folder, ip, zones
        self.next_port = free_ports(ip, 200)
        self.store = Store(record)
        self.servers, self.vms, self.tasks = [], [], []

    def take_ports(self, count):
        first, self.next_port = self.next_port, self.next_port + count
        return first

    async def start_store(self, state):
        await self.store.start(self.ip, self.take_ports(1))
        self.store.put("op", "config", state)

    async def add_server(self, service, zone, **options):
        server = Server(self.record, self.store, service, zone, self.ip, self.take_ports(1),
                        **options)
        self.servers.append(server)
        await server.start(f"i-{len(self.servers):04x}")
        server.register()
        self.tasks.append(asyncio.create_task(self.beat(server)))
        return server

    async def beat(self, server):
        """A server writes its entry each 1.5 s while it runs and the store takes calls."""
        while True:
            await asyncio.sleep(1.5)
            if server.server and self.store.mode == "up":
                server.register(cold_ms=server.cold_ms())

    async def add_vm(self, zone):
        ports = self.take_ports(20)
        vm = Vm(self.record, self.folder, f"frontend-{zone}-{len(self.vms) + 1}", self.ip,
                zone, self.zones, self.store, [ports, ports + 1, ports + 2, ports + 3], "")
        self.vms.append(vm)
        await vm.start()
        return vm

    async def ready(self):
        return all([await vm.ready() for vm in self.vms])

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            await vm.stop()
        for server in self.servers:
            await server.crash()


def service(name):
    return {"name": name, "healthCheckPath": "/health", "connectionLimit": 330,
            "coldStartS": 3, "coldPerS": 14}


def route(name, prefix, to, kind, timeout_ms=1000):
    return {"name": name, "prefix": prefix, "service": to, "kind": kind, "maxAttempts": 2,
            "timeoutMs": timeout_ms, "targetLatencyMs": 200, "priority": 1,
            "stickySessions": False}
