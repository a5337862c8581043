"""A request whose header is within max_header_bytes aborts the node that reads it."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))
from site2 import FRONT, HOST, Backend, Keeper, KeptConnection, call, main, order_route, say

MAX_HEADER_BYTES = 131072
DURATION_S = 30
CLIENTS_PER_NODE = 10
ROUTE_TIMEOUT_MS = 5000


async def case(site, trouble):
    await site.start_store()
    for zone in ("barn-north", "barn-south", "mill-shed"):
        await site.add_backend(Backend(site, "yard-tally", zone, work_s=0.22, slots=6))
    limits = {"max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    site.configure([order_route("tally", "/tally/", "yard-tally", kind="idempotent", timeout_ms=ROUTE_TIMEOUT_MS)], ["yard-tally"], limits)
    for number, zone in enumerate(("barn-north", "barn-south", "mill-shed", "barn-south"), 1):
        await site.start_node(f"front-{number}", number, zone)
    if not await site.wait_ready(site.nodes):
        say(site.record, "the nodes did not get ready")
        return 2
    keeper = Keeper(site)
    answers = {"ordinary": {}, "long": {}}
    lost = {node.name: 0 for node in site.nodes}
    end = time.monotonic() + DURATION_S

    def head_of(identity, cookie_bytes):
        head = (f"GET /tally/{identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: {ROUTE_TIMEOUT_MS}\r\n"
                f"Cookie: {'c' * cookie_bytes}\r\n\r\n").encode()
        assert len(head) <= MAX_HEADER_BYTES
        return head

    def note(kind, identity, status):
        site.record("answer", identity, "none" if not status else status)
        answers[kind][status] = answers[kind].get(status, 0) + 1

    async def ordinary_client(node):
        connection = KeptConnection(node)
        while time.monotonic() < end:
            await asyncio.sleep(random.random())
            identity = site.request_id()
            site.record("ordinary request", identity, "to", node.name)
            status, kept = await connection.ask(head_of(identity, 20))
            note("ordinary", identity, status)
            if status == 0 and kept and identity in site.runs:
                lost[node.name] += 1
                site.record("lost", identity, "from a kept connection, passed on to a sound backend, connection closed without an answer")
        connection.close()

    async def client_with_long_header():
        """Sends a request a second, and once more to another node if it gets no answer."""
        while time.monotonic() < end:
            for node in random.sample(site.nodes, 2):
                identity = site.request_id()
                head = head_of(identity, 70000 if trouble else 60000)
                site.record("request", identity, "to", node.name, "with a header of", len(head), "bytes")
                status = (await call(node.ip, FRONT, head, 5.0))[0]
                note("long", identity, status)
                if status:
                    break
            await asyncio.sleep(1)

    await asyncio.gather(client_with_long_header(), *(ordinary_client(node) for node in site.nodes for _ in range(CLIENTS_PER_NODE)))
    keeper.stop()
    say(site.record, f"answers by status, 0 for a connection that closed, None for no connection: {answers}; lost ordinary requests: {lost}; "
                     f"ends of processes: {keeper.ends}; Fault: {'broken' if keeper.breaks_fault() else 'held'}")
    return 1 if max(lost.values()) > 3 else 0


main(case)
