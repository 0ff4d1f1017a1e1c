"""FAILBACK: a server restarts under its id while the store is silent, and gets its usual
load while it is cold."""

import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import *  # noqa: E402,F403

IP = "127.0.0.53"
ZONES = {"sem-a": "semenanjung", "sem-b": "semenanjung"}
KEY = "9anu6wsjnbanfqasnmgk"
STATE = configuration(
    12, [("shop.example", [route("stock-lookup", "/stock/", "katalog", "safe"),
                           route("cell-claim", "/claim/", "katalog", "unsafe")])],
    [service("katalog")],
    [{"name": "sese880", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}])
REQUESTS_PER_S = 300  # 37 for each server; the site has up to 37 at the top of its wave
COLD_S = 3
BOUND = 14 * 1.5 + 5  # coldPerS x coldOverrun + coldSlack
STORE_SILENT_S = 4.5
DOWN_S = 0.8
CRASHES_AT = 31  # requests in one second at a cold server: over twice coldPerS

sent_at = {}  # id of the request: seconds


def most_in_one_second(record, server, begin, end):
    """Requests that were sent and arrived inside the same second, at most."""
    pairs = sorted((at, sent_at[identity]) for at, identity in server.arrivals
                   if begin <= at < end)
    most = 0
    for first, _ in pairs:
        most = max(most, sum(1 for at, sent in pairs if first <= at < first + 1
                             and sent >= first - 0.001))
    return most


def make_fragile(record, server):
    """While the server is cold, it crashes at a rate well above the one that it tolerates."""
    handle = server.handle

    async def guarded(request, reader, writer):
        now = record.now()
        recent = sum(1 for at, _ in server.arrivals[-100:] if at > max(now - 1, server.up_since))
        if server.cold_ms() and recent >= CRASHES_AT:
            lost = server.running
            record.note(f"server {server.identity} crashes: {recent} requests in one second "
                        f"while it is cold; {lost} were running")
            await server.crash()
            server.running = 0
            await asyncio.sleep(DOWN_S)
            await server.start(server.identity)
            server.up_since = record.now()
            server.cold_until = time.monotonic() + COLD_S
            record.note(f"server {server.identity} is back, cold for 3 s")
            return
        if server.cold_ms():
            await asyncio.sleep(server.work_s)  # a cold server works twice as long
        await handle(request, reader, writer)

    server.up_since = 0
    server.handle = guarded


async def main(record, trouble):
    answers = {}

    async def one(number, vm):
        unsafe = number % 5 == 0
        identity = f"{'claim' if unsafe else 'stock'}-{number:05d}"
        target = f"/{identity[:5]}/{number % 95}"
        sent_at[identity] = record.now()
        try:
            answer = await exchange(
                vm.ip, vm.ports[0],
                request_bytes("DELETE" if unsafe else "GET", "shop.example", target, identity,
                              1200, KEY), 2)
        except (OSError, asyncio.TimeoutError):
            answer = None
        text = f"{identity[:5]} {answer.line.split(' ')[1] if answer else 'none'}"
        answers[text] = answers.get(text, 0) + 1
        record.note(f"client gets {text} for {identity}, sent at {sent_at[identity]:.3f} "
                    f"to {vm.name}")

    async def traffic(vms, seconds):
        started, begin = [], time.monotonic()
        for number in range(int(seconds * REQUESTS_PER_S)):
            started.append(asyncio.create_task(one(number, vms[number % len(vms)])))
            await asyncio.sleep(max(0, begin + (number + 1) / REQUESTS_PER_S - time.monotonic()))
        await asyncio.gather(*started)

    with tempfile.TemporaryDirectory() as folder:
        all_ = Deployment(record, folder, IP, ZONES)
        try:
            await all_.start_store(STATE)
            for zone in ZONES:
                for _ in range(4):
                    await all_.add_server("katalog", zone, work_s=0.1, slots=8)
            for zone in ("sem-a", "sem-a", "sem-b"):
                await all_.add_vm(zone)
            if not await all_.ready():
                return NOT_RUN
            task = asyncio.create_task(traffic(all_.vms, 15))
            await asyncio.sleep(6)
            victim, most, begin = all_.servers[0], 0, record.now()
            make_fragile(record, victim)
            if trouble:
                all_.store.mode = "silent"
                record.note("the store is silent")
                await asyncio.sleep(0.5)
                await victim.crash()
                record.note(f"server {victim.identity} has crashed")
                await asyncio.sleep(DOWN_S)
                await victim.start(victim.identity)
                victim.up_since = record.now()  # what came before does not count
                victim.cold_until = time.monotonic() + COLD_S
                begin = record.now()
                record.note(f"server {victim.identity} is back under its id and cold for 3 s; "
                            "its health answers say so")
                await asyncio.sleep(STORE_SILENT_S - 0.5 - DOWN_S)
                all_.store.mode = "up"
                victim.register(cold_ms=victim.cold_ms())
                record.note("the store answers again")
                most = most_in_one_second(record, victim, begin, begin + COLD_S)
                record.note(f"the cold server got {most} requests in one second, bound {BOUND}")
            await task
            record.note(f"answers: {dict(sorted(answers.items()))}")
            if answers.get("stock 200", 0) < 2000:
                return NOT_RUN
            return BROKEN if most > BOUND else HELD
        finally:
            await all_.stop()


run_case(main, Path(__file__).parent)
