"""An extra answer to one part of a query is taken for the answer of another part, whose lost server had the same address."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))
from site2 import HOST, Backend, KeptConnection, gather_route, header, main, message, say

SHARDS = 30
ZONES = ("barn-north", "barn-north", "barn-north", "barn-south", "barn-south", "mill-shed", "mill-shed")
CLIENTS_PER_NODE = 4
PAUSE_S = 0.5
DURATION_S = 100
REPLACED_SHARE = 0.25
REPLACE_EVERY_S = 8.0
STORE_REFUSES_FROM_S = 2.5  # After the crash of the backends.
STORE_REFUSES_FOR_S = 4.6
ADDRESS_REUSE_S = 2.0
HEARTBEATS_OF_SILENCE_S = 3.6
SPOILED_SHARE = 0.05
FAULTY_SHARE = 0.6  # Of the backends at the start.
FAULTY_FOR_S = 16.0  # Two rounds of replacements, after which at most half of the backends are faulty at a time.
RECORDS = 4


class ShardBackend(Backend):
    """Sends, after some of its answers, the answer once more where the next one is expected. Pauses for a moment now and then."""

    spoils = False
    spoiled = 0

    def __init__(self, site, service, zone, port=0):
        super().__init__(site, service, zone, work_s=0.009, slots=3)
        self.port = port
        self.faulty_until = time.monotonic() + FAULTY_FOR_S
        self.extra = {}
        self.paused_until = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.site.ip(200), self.port, limit=1 << 22, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.site.ip(200)}:{self.port}"
        self.report("ready")
        self.pauses = asyncio.create_task(self.pause())

    async def pause(self):
        await asyncio.sleep(random.random() * 6)
        while True:
            self.paused_until = time.monotonic() + 0.25
            await asyncio.sleep(6)

    def crash(self):
        self.site.record("crash", self.id, "of", self.service, "at", self.address)
        self.pauses.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            await super().serve(ExtraFirst(self, reader, writer), writer)
        finally:
            self.extra.pop(writer, None)

    async def run(self, method, target, headers, body, writer):
        identity = header(headers, "request-id")
        async with self.queue:
            self.note_run(method, target, headers)
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3) + max(0.0, self.paused_until - time.monotonic()))
        self.stamps += 1
        stamp = f"{self.id}.{self.stamps}"
        self.site.stamps[stamp] = (identity, self.service)
        records = b"".join(random.randbytes(16) for _ in range(RECORDS))
        answer = message(200, records, [("Request-Id", identity), ("Server-Stamp", stamp), ("Keep-Alive", "timeout=5")])
        writer.write(answer)
        if ShardBackend.spoils and time.monotonic() < self.faulty_until and random.random() < SPOILED_SHARE:
            self.extra[writer] = answer


class ExtraFirst:
    """Reads requests, and sends what is left over from the last answer as soon as the next request has begun to arrive."""

    def __init__(self, backend, reader, writer):
        self.backend, self.reader, self.writer = backend, reader, writer

    async def readuntil(self, separator):
        head = await self.reader.readuntil(separator)
        extra = self.backend.extra.pop(self.writer, None)
        if extra:
            ShardBackend.spoiled += 1
            self.backend.site.record("extra answer by", self.backend.id, "of", self.backend.service)
            self.writer.write(extra)
        return head

    def __getattr__(self, name):
        return getattr(self.reader, name)


async def case(site, trouble):
    site.stamps = {}
    await site.start_store()
    shards = [f"shard-{number}" for number in range(SHARDS)]
    for shard in shards:
        for zone in ("barn-north", "barn-south"):
            backend = await site.add_backend(ShardBackend(site, shard, zone))
            if random.random() > FAULTY_SHARE:
                backend.faulty_until = 0.0
    site.configure([gather_route("match", "/match/", shards, target_ms=200, timeout_ms=1200, coverage=0.89, top=10)], shards)
    for number, zone in enumerate(ZONES, 1):
        await site.start_node(f"front-{number}", number, zone)
    if not await site.wait_ready(site.nodes):
        say(site.record, "the nodes did not get ready")
        return 2
    ShardBackend.spoils = trouble
    answers = {}
    wrong = []
    end = time.monotonic() + DURATION_S

    async def client(node):
        connection = KeptConnection(node)
        while time.monotonic() < end:
            await asyncio.sleep(random.random() * 2 * PAUSE_S)
            identity = site.request_id()
            site.record("query", identity, "to", node.name)
            request = f"GET /match/{identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: 1200\r\n\r\n"
            status, _ = await connection.ask(request.encode())
            answers[status] = answers.get(status, 0) + 1
            site.record("answer", identity, "none" if not status else status)
            if status != 200:
                continue
            stamps = [part.strip() for name, value in connection.headers if name == "part-stamps" for part in value.split(",")]
            services = [site.stamps.get(stamp, ("", ""))[1] for stamp in stamps]
            missing = int(header(connection.headers, "missing-parts") or 0)
            if len(set(services)) < len(services) or len(services) + missing != SHARDS or any(site.stamps.get(stamp, ("",))[0] != identity for stamp in stamps):
                wrong.append(identity)
                site.record("wrong", identity, "has the parts", sorted(services), "and", missing, "missing")
        connection.close()

    async def replace_backends():
        """A quarter of the backends crash for good and their addresses go to backends of other services, while the store is down for a moment."""
        while time.monotonic() < end - REPLACE_EVERY_S:
            begun = time.monotonic()
            lost = random.sample(site.backends, int(REPLACED_SHARE * len(site.backends)))
            for backend in lost:
                site.backends.remove(backend)
                backend.crash()
            await asyncio.sleep(ADDRESS_REUSE_S)
            services = [backend.service for backend in lost]
            for backend, service in zip(lost, services[1:] + services[:1]):
                await site.add_backend(ShardBackend(site, service, backend.zone, backend.port))
            await asyncio.sleep(begun + STORE_REFUSES_FROM_S - time.monotonic())
            site.store.refuse(True)
            await asyncio.sleep(begun + HEARTBEATS_OF_SILENCE_S - time.monotonic())
            for backend in lost:
                site.store.delete("servers", backend.id)
            await asyncio.sleep(begun + STORE_REFUSES_FROM_S + STORE_REFUSES_FOR_S - time.monotonic())
            site.store.refuse(False)
            await asyncio.sleep(begun + REPLACE_EVERY_S - time.monotonic())

    replacing = asyncio.create_task(replace_backends() if trouble else asyncio.sleep(0))
    await asyncio.gather(*(client(node) for node in site.nodes for _ in range(CLIENTS_PER_NODE)))
    replacing.cancel()
    say(site.record, f"answers by status: {answers}; extra answers sent: {ShardBackend.spoiled}; successes with two parts of one shard or a foreign one: "
                     f"{len(wrong)}")
    return 1 if wrong else 0


main(case)
